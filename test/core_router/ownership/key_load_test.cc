/// @file
/// Load on the keys of a node's server, measured and expected.

#include "source/core/router/ownership/key_load.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(50)};
/// Long enough for the meter to measure over its whole window.
constexpr TimePoint kLater = kStart + seconds(60);

OwnedRange range(Key first, Key last, FenceToken token, std::uint32_t rate) {
  OwnedRange made;
  made.keys = {first, last};
  made.token = token;
  made.rate = rate;
  return made;
}

/// Requests for each key of the range.
void request(KeyLoad& load, const KeyRange& keys, TimePoint now) {
  for (Key key = keys.first; key <= keys.last; ++key) {
    load.onRequest(key, now);
  }
}

TEST(KeyLoadTest, TwoRefusedRequestsCountAsOne) {
  KeyLoad once;
  KeyLoad refused_twice;
  once.onRequest(7, kStart);
  for (int i = 0; i < 2; ++i) {
    refused_twice.onRequest(7, kStart);
    refused_twice.onRequestRefused(7, kStart);
  }
  EXPECT_DOUBLE_EQ(refused_twice.meter().sum({7, 7}, kStart), once.meter().sum({7, 7}, kStart));
}

TEST(KeyLoadTest, RequestRateAddsTheExpectedRateOfGainedKeys) {
  KeyLoad load;
  request(load, {0, 9}, kStart);
  const double measured = load.requestRate({range(0, 9, 1, 0)}, kStart);
  EXPECT_GT(measured, 0);
  const std::vector<OwnedRange> owned = {range(0, 9, 1, 0), range(20, 29, 2, 40)};
  load.recordGains(owned, kStart);
  EXPECT_DOUBLE_EQ(load.requestRate(owned, kStart), measured + 40);
}

TEST(KeyLoadTest, RequestsForKeysOfOthersDoNotCount) {
  KeyLoad load;
  request(load, {100, 199}, kStart);
  EXPECT_DOUBLE_EQ(load.requestRate({range(0, 9, 1, 0)}, kStart), 0);
}

TEST(KeyLoadTest, RateIsRoundedAndNeverNegative) {
  KeyLoad load;
  load.onRequest(500, kStart);
  request(load, {0, 99}, kLater);
  EXPECT_NEAR(load.rateOf({0, 99}, kLater), load.meter().rate({0, 99}, kLater), 0.5);
  load.onRequestRefused(300, kLater);
  load.onRequestRefused(300, kLater);
  EXPECT_EQ(load.rateOf({300, 300}, kLater), 0U);
}

TEST(KeyLoadTest, RecentlyGainedRangesAreLeftOutUntilTheAgeIsOver) {
  KeyLoad load;
  const std::vector<OwnedRange> owned = {range(0, 9, 1, 0), range(20, 29, 2, 40)};
  load.recordGains(owned, kStart);
  EXPECT_EQ(load.withoutGains(owned, seconds(3), kStart + seconds(2)), std::vector{owned[0]});
  EXPECT_EQ(load.withoutGains(owned, seconds(3), kStart + seconds(3)), owned);
}

TEST(KeyLoadTest, EachRangeIsSplitIntoPartsOfEqualLoad) {
  KeyLoad load;
  request(load, {0, 99}, kStart);
  request(load, {200, 299}, kStart);
  const std::vector<KeyRange> pieces = load.split({range(0, 99, 1, 0), range(200, 299, 2, 0)}, 2, kStart);
  EXPECT_EQ(pieces, (std::vector<KeyRange>{{0, 49}, {50, 99}, {200, 249}, {250, 299}}));
}

}  // namespace
}  // namespace shedlever::test
