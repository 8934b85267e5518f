/// @file
/// Notices of ended processes.

#include "source/core/router/directory/process_end_tracker.h"

#include <gtest/gtest.h>

#include "test/support/manual_clock.h"

namespace shedlever::test {
namespace {

using std::chrono::seconds;

class ProcessEndTrackerTest : public ::testing::Test {
 protected:
  ProcessEndTrackerTest() {
    tracker_.onRecord(process_, clock_.now());
    clock_.advance(seconds(60));
  }

  bool endedWithin(Duration span) const { return tracker_.mayHaveEndedSince(clock_.now() - span); }

  const NodeIdentity process_{NodeName("a"), Incarnation{5}};
  const NodeIdentity successor_{NodeName("a"), Incarnation{6}};
  ManualClock clock_;
  ProcessEndTracker tracker_{clock_.now()};
};

TEST_F(ProcessEndTrackerTest, OwnStartCountsAsTheEndOfThePredecessor) {
  EXPECT_TRUE(endedWithin(seconds(60)));
  EXPECT_FALSE(endedWithin(seconds(59)));
}

TEST_F(ProcessEndTrackerTest, LaterIncarnationProvesTheEndOfTheEarlier) {
  tracker_.onRecord(successor_, clock_.now());
  clock_.advance(seconds(10));
  EXPECT_TRUE(endedWithin(seconds(10)));
  EXPECT_FALSE(endedWithin(seconds(9)));
}

TEST_F(ProcessEndTrackerTest, RecordsOfNewNodesAndOfEarlierIncarnationsProveNothing) {
  tracker_.onRecord(process_, clock_.now());
  tracker_.onRecord({NodeName("a"), Incarnation{4}}, clock_.now());
  tracker_.onRecord({NodeName("b"), Incarnation{9}}, clock_.now());
  EXPECT_FALSE(endedWithin(seconds(30)));
}

TEST_F(ProcessEndTrackerTest, LostProcessMayHaveEndedUntilItAnswersAgain) {
  tracker_.onLost(process_.name, clock_.now());
  EXPECT_TRUE(endedWithin(seconds(30)));
  // Its record alone does not show that it still runs.
  tracker_.onRecord(process_, clock_.now());
  EXPECT_TRUE(endedWithin(seconds(30)));
  tracker_.onReached(process_, clock_.now());
  EXPECT_FALSE(endedWithin(seconds(30)));
}

TEST_F(ProcessEndTrackerTest, AnswerOfTheSuccessorProvesTheEnd) {
  tracker_.onLost(process_.name, clock_.now());
  tracker_.onReached(successor_, clock_.now());
  EXPECT_TRUE(endedWithin(seconds(30)));
}

TEST_F(ProcessEndTrackerTest, ProcessThatStaysUnreachableEndedWhenItWasLost) {
  tracker_.onLost(process_.name, clock_.now());
  clock_.advance(seconds(40));
  tracker_.onLost(process_.name, clock_.now());
  EXPECT_FALSE(endedWithin(seconds(30)));
}

}  // namespace
}  // namespace shedlever::test
