/// @file
/// Changes and encoding of the owner table, and the load meter of keys.

#include "source/core/router/ownership/owner_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "source/core/router/ownership/key_meter.h"

namespace shedlever::test {
namespace {

using std::chrono::seconds;

const OwnerLocation kFirst{InstanceId("i-1"), NodeName("n-1")};
const OwnerLocation kSecond{InstanceId("i-2"), NodeName("n-2")};
const OwnerLocation kThird{InstanceId("i-3"), NodeName("n-3")};

leaf::result<OwnerTable> decoded(const std::string& text) { return OwnerTable::decode(text); }

OwnerTable decodedOrEmpty(const std::string& text) {
  return leaf::try_handle_all([&] { return decoded(text); }, [] { return OwnerTable(); });
}

TEST(OwnerTableTest, InitialTableCoversAllKeys) {
  const OwnerTable table = OwnerTable::divideEvenly({kFirst, kSecond, kThird});
  ASSERT_EQ(table.ranges().size(), 3U);
  std::uint32_t keys = 0;
  for (const OwnedRange& range : table.ranges()) {
    keys += range.keys.size();
  }
  EXPECT_EQ(keys, kKeyCount);
  EXPECT_EQ(table.find(0)->owner, kFirst.instance);
  EXPECT_EQ(table.find(kKeyCount - 1)->owner, kThird.instance);
}

// The most requested keys lie close together and must not all go to one server.
TEST(OwnerTableTest, InitialTableAssignsRangesInTurn) {
  const OwnerTable table = OwnerTable::divideEvenly({kFirst, kSecond}, 3);
  ASSERT_EQ(table.ranges().size(), 6U);
  std::uint32_t keys = 0;
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(table.ranges()[i].owner, i % 2 == 0 ? kFirst.instance : kSecond.instance);
    keys += table.ranges()[i].keys.size();
  }
  EXPECT_EQ(keys, kKeyCount);
}

TEST(OwnerTableTest, TokenAfterAReleaseIsHigherThanTheReleaseToken) {
  OwnerTable table = OwnerTable::divideEvenly({kFirst, kSecond});
  const auto released = table.beginRelease({100, 199}, kFirst.instance);
  ASSERT_TRUE(released);
  EXPECT_EQ(table.ranges().size(), 4U);
  EXPECT_TRUE(table.assign({100, 199}, kSecond, "paper"));
  const OwnedRange* moved = table.find(150);
  EXPECT_EQ(moved->owner, kSecond.instance);
  EXPECT_EQ(moved->handover, "paper");
  EXPECT_GT(moved->token, released->token + 1);
}

TEST(OwnerTableTest, OnlyTheOwnerCanReleaseARangeAndOnlyOnce) {
  OwnerTable table = OwnerTable::divideEvenly({kFirst, kSecond});
  EXPECT_FALSE(table.beginRelease({100, 199}, kSecond.instance));
  EXPECT_FALSE(table.beginRelease({32000, 33000}, kFirst.instance)) << "spans two ranges";
  ASSERT_TRUE(table.beginRelease({100, 199}, kFirst.instance));
  EXPECT_FALSE(table.beginRelease({100, 199}, kFirst.instance));
}

TEST(OwnerTableTest, AbortedReleaseIncreasesTheToken) {
  OwnerTable table = OwnerTable::divideEvenly({kFirst});
  const auto released = table.beginRelease({0, 9}, kFirst.instance);
  table.abortRelease({0, 9});
  EXPECT_FALSE(table.find(5)->releasing);
  EXPECT_GT(table.find(5)->token, released->token + 1);
}

TEST(OwnerTableTest, MergesAdjacentRangesUnderAHigherToken) {
  OwnerTable table = OwnerTable::divideEvenly({kFirst, kSecond});
  table.beginRelease({32768, 40000}, kSecond.instance);
  table.assign({32768, 40000}, kFirst, {});
  const FenceToken before = table.find(32768)->token;
  EXPECT_TRUE(table.mergeAdjacentRanges(kFirst.instance));
  EXPECT_EQ(table.find(0)->keys, (KeyRange{0, 40000}));
  EXPECT_GT(table.find(0)->token, before);
  EXPECT_FALSE(table.mergeAdjacentRanges(kFirst.instance));
}

TEST(OwnerTableTest, InvalidTextIsRejected) {
  for (const char* text :
       {"", "[]", "{}", R"({"last_token":1,"owners":[],"ranges":[]})",
        R"({"last_token":1,"owners":[],"ranges":[[5,0,1]]})",
        R"({"last_token":1,"owners":[],"ranges":[[0,0,1],[0,0,1]]})", R"({"last_token":1,"ranges":[[0,0,1]]})",
        R"({"last_token":1,"owners":[],"ranges":[[0,1,1]]})", R"({"last_token":1,"owners":[],"ranges":[["0",0,1]]})"}) {
    EXPECT_TRUE(decodedOrEmpty(text).ranges().empty()) << text;
  }
}

RC_GTEST_PROP(OwnerTableProperty, DecodingRestoresTheTableAndTokensIncrease, (const std::vector<std::uint16_t>& cuts)) {
  OwnerTable table = OwnerTable::divideEvenly({kFirst, kSecond, kThird});
  const std::vector<OwnerLocation> places = {kFirst, kSecond, kThird};
  for (const std::uint16_t cut : cuts) {
    const OwnedRange before = *table.find(cut);
    const auto released = table.beginRelease({cut, before.keys.last}, before.owner);
    RC_ASSERT(released.has_value());
    RC_ASSERT(table.assign(released->keys, places[cut % 3], "h"));
    RC_ASSERT(table.find(cut)->token > before.token + 1);
    table.mergeAdjacentRanges(places[cut % 3].instance);
    RC_ASSERT(decodedOrEmpty(table.encode()) == table);
  }
}

TEST(KeyMeterTest, OldLoadDecays) {
  KeyMeter meter(seconds(2));
  const TimePoint start{seconds(1)};
  meter.add(7, 8.0, start);
  EXPECT_NEAR(meter.sum({0, 10}, start), 8.0, 1e-6);
  EXPECT_NEAR(meter.sum({0, 10}, start + seconds(4)), 2.0, 1e-6);
  meter.add(7, 1.0, start + seconds(200));
  EXPECT_NEAR(meter.sum({7, 7}, start + seconds(200)), 1.0, 1e-6);
}

TEST(KeyMeterTest, CutsAnEndWithAboutTheWantedLoad) {
  KeyMeter meter(seconds(2));
  const TimePoint now{seconds(1)};
  for (Key key = 100; key < 200; ++key) {
    meter.add(key, 1.0, now);
  }
  const auto cut = meter.cutFromEnd({0, 999}, 30.0, 45.0, now);
  ASSERT_TRUE(cut);
  EXPECT_NEAR(meter.sum(*cut, now), 30.0, 1.0);
  EXPECT_TRUE(cut->first == 0 || cut->last == 999);
}

TEST(KeyMeterTest, KeyAboveTheMaximumIsNotCut) {
  KeyMeter meter(seconds(2));
  const TimePoint now{seconds(1)};
  meter.add(500, 100.0, now);
  EXPECT_FALSE(meter.cutFromEnd({0, 999}, 10.0, 15.0, now));
}

TEST(KeyMeterTest, SplitsIntoRangesOfEqualLoad) {
  KeyMeter meter(seconds(2));
  const TimePoint now{seconds(1)};
  for (Key key = 100; key < 200; ++key) {
    meter.add(key, 1.0, now);
  }
  const auto parts = meter.split({0, 999}, 4, now);
  ASSERT_EQ(parts.size(), 4U);
  EXPECT_EQ(parts.front().first, 0);
  EXPECT_EQ(parts.back().last, 999);
  for (const KeyRange& part : parts) {
    EXPECT_NEAR(meter.sum(part, now), 25.0, 1.0);
  }
  EXPECT_EQ(meter.split({2000, 2999}, 4, now).size(), 1U);
}

}  // namespace
}  // namespace shedlever::test
