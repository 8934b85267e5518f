/// @file
/// Expected durations by key.

#include "source/core/router/admission/duration_estimator.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

TEST(DurationEstimatorTest, EstimatesEachKeySeparately) {
  DurationEstimator times;
  EXPECT_EQ(times.expected("short", milliseconds(70)), milliseconds(70));
  for (int i = 0; i < 200; ++i) {
    times.record("short", milliseconds(20));
    times.record("long", milliseconds(i % 2 == 0 ? 100 : 300));
  }
  EXPECT_LT(times.expected("short", {}), milliseconds(22));
  EXPECT_GE(times.expected("short", {}), milliseconds(20));
  // Mean 200 ms, mean deviation 100 ms.
  EXPECT_GT(times.expected("long", {}), milliseconds(280));
  EXPECT_LT(times.expected("long", {}), milliseconds(320));
}

TEST(DurationEstimatorTest, FollowsAChangeOfTheDurations) {
  DurationEstimator times;
  for (int i = 0; i < 50; ++i) {
    times.record("r", milliseconds(50));
  }
  for (int i = 0; i < 50; ++i) {
    times.record("r", milliseconds(200));
  }
  EXPECT_GT(times.expected("r", {}), milliseconds(190));
  times.reset();
  EXPECT_EQ(times.expected("r", milliseconds(1)), milliseconds(1));
}

}  // namespace
}  // namespace shedlever::test
