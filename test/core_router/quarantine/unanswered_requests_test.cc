/// @file
/// Which requests a server may have been running when it crashed.

#include "source/core/router/quarantine/unanswered_requests.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

RequestFingerprint request(std::uint64_t number) { return {0, number}; }

using Requests = std::vector<RequestFingerprint>;

TEST(UnansweredRequestsTest, RunningAndLostRequestsAreUnanswered) {
  UnansweredRequests unanswered;
  for (std::uint64_t number = 1; number <= 3; ++number) {
    unanswered.onSent(number, request(number));
  }
  unanswered.onConnectionLost(2, kStart);
  unanswered.onConnectionLost(3, kStart + milliseconds(1));
  EXPECT_EQ(unanswered.takeOnCrash(), (Requests{request(1), request(2), request(3)}));
  EXPECT_TRUE(unanswered.takeOnCrash().empty());
}

TEST(UnansweredRequestsTest, RequestLostBeforeALaterResponseIsNotACause) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(1));
  unanswered.onSent(2, request(2));
  unanswered.onConnectionLost(1, kStart);
  unanswered.onAnswered(2, true, kStart + milliseconds(300));
  EXPECT_TRUE(unanswered.takeOnCrash().empty());
}

// The loss of a connection may be noticed before a response that was sent earlier is read.
TEST(UnansweredRequestsTest, ResponseReadJustAfterTheLossDoesNotClearARequest) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(1));
  unanswered.onSent(2, request(2));
  unanswered.onConnectionLost(1, kStart);
  unanswered.onAnswered(2, true, kStart + milliseconds(20));
  EXPECT_EQ(unanswered.takeOnCrash(), Requests{request(1)});
}

// A cancelled request may still be running and crash the server after responses to other requests.
TEST(UnansweredRequestsTest, AbandonedRequestStaysSuspectForItsPossibleRunTime) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(1));
  unanswered.onSent(2, request(2));
  unanswered.onSent(3, request(3));
  unanswered.onAbandoned(1, kStart);
  unanswered.onAnswered(2, true, kStart + milliseconds(600));
  EXPECT_EQ(unanswered.takeOnCrash(), (Requests{request(1), request(3)}));
  unanswered.onSent(4, request(4));
  unanswered.onSent(5, request(5));
  unanswered.onAbandoned(4, kStart);
  unanswered.onAnswered(5, true, kStart + milliseconds(800));
  EXPECT_TRUE(unanswered.takeOnCrash().empty());
}

// Guards against the quarantine of a frequent harmless request when a server stops for another reason.
TEST(UnansweredRequestsTest, RequestThatRanWellBeforeIsNotACause) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(7));
  unanswered.onAnswered(1, true, kStart);
  unanswered.onSent(2, request(7));
  unanswered.onSent(3, request(8));
  EXPECT_EQ(unanswered.takeOnCrash(), Requests{request(8)});
}

// A refused or timed-out run does not show that the request is harmless.
TEST(UnansweredRequestsTest, RequestThatTheServerRefusedOrFailedStaysSuspect) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(7));
  unanswered.onAnswered(1, false, kStart);
  unanswered.onSent(2, request(7));
  EXPECT_EQ(unanswered.takeOnCrash(), Requests{request(7)});
}

TEST(UnansweredRequestsTest, RefusedConnectionDoesNotClearLostRequests) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(1));
  unanswered.onSent(2, request(2));
  unanswered.onConnectionLost(1, kStart);
  unanswered.onNotReached(2);
  EXPECT_EQ(unanswered.takeOnCrash(), Requests{request(1)});
}

TEST(UnansweredRequestsTest, ServedRequestsAreForgottenForTheNextInstance) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(1));
  unanswered.onAnswered(1, true, kStart);
  unanswered.clear();
  unanswered.onSent(2, request(1));
  EXPECT_EQ(unanswered.takeOnCrash(), Requests{request(1)});
}

TEST(UnansweredRequestsTest, MemoryIsBounded) {
  UnansweredRequests unanswered;
  constexpr std::uint64_t kMany = 5000;
  for (std::uint64_t number = 0; number < kMany; ++number) {
    unanswered.onSent(number, request(number));
    unanswered.onConnectionLost(number, kStart);
  }
  EXPECT_LE(unanswered.takeOnCrash().size(), 256U);
}

}  // namespace
}  // namespace shedlever::test
