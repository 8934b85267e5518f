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
    unanswered.begun(number, request(number));
  }
  unanswered.broken(2, kStart);
  unanswered.broken(3, kStart + milliseconds(1));
  EXPECT_EQ(unanswered.takeAtEnd(), (Requests{request(1), request(2), request(3)}));
  EXPECT_TRUE(unanswered.takeAtEnd().empty());
}

TEST(UnansweredRequestsTest, ServerThatAnswersOnHasNotEndedByWhatBrokeBefore) {
  UnansweredRequests unanswered;
  unanswered.begun(1, request(1));
  unanswered.begun(2, request(2));
  unanswered.broken(1, kStart);
  unanswered.answered(2, true, kStart + milliseconds(300));
  EXPECT_TRUE(unanswered.takeAtEnd().empty());
}

// The news that a connection broke may be read before an answer that was sent before it.
TEST(UnansweredRequestsTest, AnswerThatIsReadJustAfterTheBreakProvesNothing) {
  UnansweredRequests unanswered;
  unanswered.begun(1, request(1));
  unanswered.begun(2, request(2));
  unanswered.broken(1, kStart);
  unanswered.answered(2, true, kStart + milliseconds(20));
  EXPECT_EQ(unanswered.takeAtEnd(), Requests{request(1)});
}

// It was taken back while it ran; the server answered others meanwhile, and ended by it 0.1 s later.
TEST(UnansweredRequestsTest, RequestThatWasTakenBackMayRunForAMoment) {
  UnansweredRequests unanswered;
  unanswered.begun(1, request(1));
  unanswered.begun(2, request(2));
  unanswered.begun(3, request(3));
  unanswered.abandoned(1, kStart);
  unanswered.answered(2, true, kStart + milliseconds(600));
  EXPECT_EQ(unanswered.takeAtEnd(), (Requests{request(1), request(3)}));
  unanswered.begun(4, request(4));
  unanswered.begun(5, request(5));
  unanswered.abandoned(4, kStart);
  unanswered.answered(5, true, kStart + milliseconds(800));
  EXPECT_TRUE(unanswered.takeAtEnd().empty());
}

// One key is asked for in the same words a hundred times a second; the server loses its power.
TEST(UnansweredRequestsTest, RequestThatTheServerHasRunWellBeforeIsNoCause) {
  UnansweredRequests unanswered;
  unanswered.begun(1, request(7));
  unanswered.answered(1, true, kStart);
  unanswered.begun(2, request(7));
  unanswered.begun(3, request(8));
  EXPECT_EQ(unanswered.takeAtEnd(), Requests{request(8)});
}

// Turned away, or given up at its deadline before it could do harm.
TEST(UnansweredRequestsTest, RequestThatTheServerTurnedAwayOrFailedWasNotRunWell) {
  UnansweredRequests unanswered;
  unanswered.begun(1, request(7));
  unanswered.answered(1, false, kStart);
  unanswered.begun(2, request(7));
  EXPECT_EQ(unanswered.takeAtEnd(), Requests{request(7)});
}

TEST(UnansweredRequestsTest, RefusedConnectionIsNoSignOfLife) {
  UnansweredRequests unanswered;
  unanswered.begun(1, request(1));
  unanswered.begun(2, request(2));
  unanswered.broken(1, kStart);
  unanswered.notReached(2);
  EXPECT_EQ(unanswered.takeAtEnd(), Requests{request(1)});
}

TEST(UnansweredRequestsTest, NextLifeHasServedNothing) {
  UnansweredRequests unanswered;
  unanswered.begun(1, request(1));
  unanswered.answered(1, true, kStart);
  unanswered.clear();
  unanswered.begun(2, request(1));
  EXPECT_EQ(unanswered.takeAtEnd(), Requests{request(1)});
}

TEST(UnansweredRequestsTest, MemoryIsBounded) {
  UnansweredRequests unanswered;
  constexpr std::uint64_t kMany = 5000;
  for (std::uint64_t number = 0; number < kMany; ++number) {
    unanswered.begun(number, request(number));
    unanswered.broken(number, kStart);
  }
  EXPECT_LE(unanswered.takeAtEnd().size(), 256U);
}

}  // namespace
}  // namespace shedlever::test
