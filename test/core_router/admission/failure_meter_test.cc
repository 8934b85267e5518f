/// @file
/// The ratio of recent requests that failed, and its decay.

#include "source/core/router/admission/failure_meter.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

/// Records `times` requests at intervals of `gap`. @return the time of the last one.
TimePoint recordTimes(FailureMeter& meter, int times, bool failed, TimePoint from, Duration gap) {
  for (int i = 0; i < times; ++i) {
    from += gap;
    meter.record(failed, from);
  }
  return from;
}

TEST(FailureMeterTest, RatioIsZeroBeforeAnyRequest) { EXPECT_EQ(FailureMeter().failureRatio(kStart), 0.0); }

TEST(FailureMeterTest, SingleFailureGivesALowRatio) {
  FailureMeter meter;
  meter.record(true, kStart);
  EXPECT_LT(meter.failureRatio(kStart), 0.25);
}

TEST(FailureMeterTest, RatioRisesWithinASecondWhenAllRequestsFail) {
  FailureMeter meter;
  TimePoint now = recordTimes(meter, 200, false, kStart, milliseconds(20));
  EXPECT_LT(meter.failureRatio(now), 0.01);
  now = recordTimes(meter, 50, true, now, milliseconds(20));
  EXPECT_GT(meter.failureRatio(now), 0.45);
}

TEST(FailureMeterTest, RatioDecaysWhileNoRequestsAreSent) {
  FailureMeter meter;
  const TimePoint now = recordTimes(meter, 100, true, kStart, milliseconds(20));
  EXPECT_GT(meter.failureRatio(now), 0.8);
  EXPECT_LT(meter.failureRatio(now + seconds(8)), 0.1);
  EXPECT_GT(meter.failureRatio(now + seconds(2)), 0.6);
}

TEST(FailureMeterTest, RatioIsHalfWhenEverySecondRequestFails) {
  FailureMeter meter;
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    now = recordTimes(meter, 1, i % 2 == 0, now, milliseconds(10));
  }
  EXPECT_NEAR(meter.failureRatio(now), 0.5, 0.05);
}

}  // namespace
}  // namespace shedlever::test
