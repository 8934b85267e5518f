/// @file
/// Expected request rate of recently gained keys.

#include "source/core/router/ownership/gained_keys.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(50)};

OwnedRange gained(Key first, Key last, FenceToken token, std::uint32_t rate) {
  OwnedRange range;
  range.keys = {first, last};
  range.token = token;
  range.rate = rate;
  return range;
}

TEST(GainedKeysTest, RateOfThePreviousOwnerDecaysWithTheHalfLife) {
  GainedKeys gains(seconds(1));
  gains.recordGains({gained(0, 9, 5, 40)}, kStart);
  EXPECT_DOUBLE_EQ(gains.expectedRate(kStart), 40.0);
  EXPECT_DOUBLE_EQ(gains.expectedRate(kStart + seconds(2)), 10.0);
}

TEST(GainedKeysTest, RangeIsRecordedOnceIfTheTableIsReadRepeatedly) {
  GainedKeys gains(seconds(1));
  gains.recordGains({gained(0, 9, 5, 40)}, kStart);
  gains.recordGains({gained(0, 9, 5, 40)}, kStart);
  EXPECT_DOUBLE_EQ(gains.expectedRate(kStart), 40.0);
  gains.recordGains({gained(0, 9, 5, 40), gained(20, 29, 6, 8)}, kStart);
  EXPECT_DOUBLE_EQ(gains.expectedRate(kStart), 48.0);
}

TEST(GainedKeysTest, RangeWithoutARateIsNoGain) {
  GainedKeys gains(seconds(1));
  gains.recordGains({gained(0, 9, 5, 0)}, kStart);
  EXPECT_FALSE(gains.gainedWithin(seconds(3), {0, 9}, kStart));
}

TEST(GainedKeysTest, KeysCountAsGainedOnlyForTheGivenAge) {
  GainedKeys gains(seconds(1));
  gains.recordGains({gained(10, 19, 5, 40)}, kStart);
  EXPECT_TRUE(gains.gainedWithin(seconds(3), {0, 10}, kStart + seconds(2)));
  EXPECT_FALSE(gains.gainedWithin(seconds(3), {0, 9}, kStart + seconds(2)));
  EXPECT_FALSE(gains.gainedWithin(seconds(3), {0, 10}, kStart + seconds(3)));
}

}  // namespace
}  // namespace shedlever::test
