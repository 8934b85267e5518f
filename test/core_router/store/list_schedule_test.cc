/// @file
/// Intervals between lists of one kind of objects, and backoff after failures.

#include "source/core/router/store/list_schedule.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(5)};

constexpr ListIntervals kIntervals{milliseconds(2500), milliseconds(8000), milliseconds(1000), milliseconds(400),
                                   milliseconds(1600)};

TEST(RetryBackoffTest, DoublesUpToItsLimitAndIsResetByASuccess) {
  RetryBackoff backoff(milliseconds(100), milliseconds(350));
  EXPECT_EQ(backoff.onFailure(), milliseconds(100));
  EXPECT_EQ(backoff.onFailure(), milliseconds(200));
  EXPECT_EQ(backoff.onFailure(), milliseconds(350));
  EXPECT_EQ(backoff.onFailure(), milliseconds(350));
  backoff.onSuccess();
  EXPECT_EQ(backoff.onFailure(), milliseconds(100));
}

TEST(ListScheduleTest, IntervalDependsOnWhatIsMissing) {
  ListSchedule schedule(kIntervals);
  EXPECT_LE(schedule.dueAt(ListNeed::Nothing), kStart);
  schedule.onListed(kStart);
  EXPECT_EQ(schedule.dueAt(ListNeed::Nothing), kStart + milliseconds(8000));
  EXPECT_EQ(schedule.dueAt(ListNeed::Newer), kStart + milliseconds(2500));
  EXPECT_EQ(schedule.dueAt(ListNeed::Missing), kStart + milliseconds(1000));
}

// Guards against a flood of lists: replies that mention a newer table must not trigger retries during the backoff.
TEST(ListScheduleTest, NoListIsDueBeforeTheBackoffAfterAFailureHasElapsed) {
  ListSchedule schedule(kIntervals);
  schedule.onListed(kStart);
  const TimePoint failed = kStart + milliseconds(20000);
  schedule.onFailed(failed);
  EXPECT_EQ(schedule.dueAt(ListNeed::Newer), failed + milliseconds(400));
  EXPECT_EQ(schedule.dueAt(ListNeed::Missing), failed + milliseconds(400));
  schedule.onFailed(failed + milliseconds(400));
  EXPECT_EQ(schedule.dueAt(ListNeed::Newer), failed + milliseconds(1200));
}

TEST(ListScheduleTest, BackoffAppliesToTheFirstListAsWell) {
  ListSchedule schedule(kIntervals);
  schedule.onFailed(kStart);
  EXPECT_EQ(schedule.dueAt(ListNeed::Missing), kStart + milliseconds(400));
}

TEST(ListScheduleTest, OnlyTheFirstListAndAListForANewerObjectMustBeFresh) {
  ListSchedule schedule(kIntervals);
  EXPECT_TRUE(schedule.mustBeFresh(ListNeed::Nothing));
  schedule.onFailed(kStart);
  EXPECT_TRUE(schedule.mustBeFresh(ListNeed::Nothing));
  schedule.onListed(kStart);
  EXPECT_FALSE(schedule.mustBeFresh(ListNeed::Nothing));
  EXPECT_FALSE(schedule.mustBeFresh(ListNeed::Missing));
  EXPECT_TRUE(schedule.mustBeFresh(ListNeed::Newer));
}

}  // namespace
}  // namespace shedlever::test
