/// @file
/// What a server may have been at work on when it ended.

#include "source/core/router/quarantine/unanswered_requests.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

RequestFingerprint request(std::uint64_t number) { return {0, number}; }

using Requests = std::vector<RequestFingerprint>;

TEST(UnansweredRequestsTest, HoldsWhatRunsAndWhatBrokeTogether) {
  UnansweredRequests unanswered;
  for (std::uint64_t number = 1; number <= 3; ++number) {
    unanswered.onSent(number, request(number));
  }
  unanswered.onConnectionLost(2, kStart);
  unanswered.onConnectionLost(3, kStart + milliseconds(1));
  EXPECT_EQ(unanswered.takeOnCrash(), (Requests{request(1), request(2), request(3)}));
  EXPECT_TRUE(unanswered.takeOnCrash().empty());
}

TEST(UnansweredRequestsTest, ServerThatAnswersOnHasNotEndedByWhatBrokeBefore) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(1));
  unanswered.onSent(2, request(2));
  unanswered.onConnectionLost(1, kStart);
  unanswered.onAnswered(2, true, kStart + milliseconds(300));
  EXPECT_TRUE(unanswered.takeOnCrash().empty());
}

// The news that a connection broke may be read before an answer that was sent before it.
TEST(UnansweredRequestsTest, AnswerThatIsReadJustAfterTheBreakProvesNothing) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(1));
  unanswered.onSent(2, request(2));
  unanswered.onConnectionLost(1, kStart);
  unanswered.onAnswered(2, true, kStart + milliseconds(20));
  EXPECT_EQ(unanswered.takeOnCrash(), Requests{request(1)});
}

// It was taken back while it ran; the server answered others meanwhile, and ended by it 0.1 s later.
TEST(UnansweredRequestsTest, RequestThatWasTakenBackMayRunForAMoment) {
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

// One key is asked for in the same words a hundred times a second; the server loses its power.
TEST(UnansweredRequestsTest, RequestThatTheServerHasRunWellBeforeIsNoCause) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(7));
  unanswered.onAnswered(1, true, kStart);
  unanswered.onSent(2, request(7));
  unanswered.onSent(3, request(8));
  EXPECT_EQ(unanswered.takeOnCrash(), Requests{request(8)});
}

// Turned away, or given up at its deadline before it could do harm.
TEST(UnansweredRequestsTest, RequestThatTheServerTurnedAwayOrFailedWasNotRunWell) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(7));
  unanswered.onAnswered(1, false, kStart);
  unanswered.onSent(2, request(7));
  EXPECT_EQ(unanswered.takeOnCrash(), Requests{request(7)});
}

TEST(UnansweredRequestsTest, RefusedConnectionIsNoSignOfLife) {
  UnansweredRequests unanswered;
  unanswered.onSent(1, request(1));
  unanswered.onSent(2, request(2));
  unanswered.onConnectionLost(1, kStart);
  unanswered.onNotReached(2);
  EXPECT_EQ(unanswered.takeOnCrash(), Requests{request(1)});
}

TEST(UnansweredRequestsTest, NextLifeHasServedNothing) {
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
