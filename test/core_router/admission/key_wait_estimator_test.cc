/// @file
/// Expected waits for keys in transfer.

#include "source/core/router/admission/key_wait_estimator.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(100));

TEST(KeyWaitEstimatorTest, ExpectsTheDurationOfEarlierWaits) {
  KeyWaitEstimator waits;
  EXPECT_EQ(waits.expectedRemaining(5, kStart), Duration::zero());
  TimePoint now = kStart;
  for (int i = 0; i < 60; ++i) {
    waits.onWaiting(5, now);
    waits.onWaiting(5, now + milliseconds(100));
    waits.update([](Key) { return true; }, now + milliseconds(150));
    now += milliseconds(200);
    waits.update([](Key) { return false; }, now);
  }
  EXPECT_GE(waits.expectedRemaining(7, now), milliseconds(200));
  EXPECT_LT(waits.expectedRemaining(7, now), milliseconds(215));
  waits.onWaiting(7, now);
  const Duration left = waits.expectedRemaining(7, now + milliseconds(150));
  EXPECT_GE(left, milliseconds(50));
  EXPECT_LT(left, milliseconds(65));
}

TEST(KeyWaitEstimatorTest, WaitLongerThanExpectedIsExpectedToTakeAsLongAgain) {
  KeyWaitEstimator waits;
  waits.onWaiting(5, kStart);
  waits.update([](Key) { return false; }, kStart + milliseconds(100));
  waits.onWaiting(9, kStart);
  EXPECT_EQ(waits.expectedRemaining(9, kStart + milliseconds(800)), milliseconds(800));
}

}  // namespace
}  // namespace shedlever::test
