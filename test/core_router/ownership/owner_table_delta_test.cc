/// @file
/// A table that is put together from an earlier one and a delta equals the sender's table, or is rejected.

#include "source/core/router/ownership/owner_table_delta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace shedlever::test {
namespace {

std::vector<OwnerLocation> locations(std::size_t count) {
  std::vector<OwnerLocation> made;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    made.push_back({InstanceId("instance-" + number), NodeName("node-" + number)});
  }
  return made;
}

/// Makes one of all kinds of changes to the range of the key, as chosen by `choice`.
void edit(OwnerTable& table, Key key, std::uint16_t choice, const std::vector<OwnerLocation>& owners) {
  constexpr std::uint16_t kKindsOfChange = 6;
  table.beginChange(table.epoch() + (choice % 97 == 0 ? 1 : 0));
  const OwnedRange range = *table.find(key);
  const OwnerLocation& next = owners[choice % owners.size()];
  switch (choice % kKindsOfChange) {
    case 0:
      table.assign(range.keys, next, "state", choice);
      return;
    case 1:
      table.assign(range.keys, OwnerLocation{}, {});
      return;
    case 2:
      table.abortRelease(range.keys);
      return;
    case 3:
      table.mergeAdjacentRanges(range.owner);
      return;
    default:
      table.beginRelease({key, range.keys.last}, range.owner);
      return;
  }
}

using Edits = std::vector<std::pair<Key, std::uint16_t>>;

OwnerTable edited(OwnerTable table, const Edits& edits, const std::vector<OwnerLocation>& owners) {
  for (const auto& [key, choice] : edits) {
    edit(table, key, choice, owners);
  }
  return table;
}

RC_GTEST_PROP(OwnerTableDeltaProperty, AppliedDeltaYieldsTheSameTable, (const Edits& before, const Edits& after)) {
  const std::vector<OwnerLocation> owners = locations(7);
  const OwnerTable earlier = edited(OwnerTable::divideEvenly(owners, 5, 1), before, owners);
  const OwnerTable later = edited(earlier, after, owners);
  const auto applied = applyDelta(earlier, makeDelta(later, digestOf(earlier)));
  RC_ASSERT(applied.has_value());
  RC_ASSERT(applied->encode() == later.encode());
  RC_ASSERT(applied->changes() == later.changes());
}

// The store may have been restored from a backup, or the receiver may have a table that the sender has never seen.
RC_GTEST_PROP(OwnerTableDeltaProperty, TablesWithoutCommonHistoryAreBridgedToo,
              (const Edits& before, const Edits& after)) {
  const std::vector<OwnerLocation> owners = locations(9);
  const OwnerTable known = edited(OwnerTable::divideEvenly(locations(4), 3, 1), before, locations(4));
  const OwnerTable table = edited(OwnerTable::divideEvenly(owners, 2, 2), after, owners);
  const auto applied = applyDelta(known, makeDelta(table, digestOf(known)));
  RC_ASSERT(applied.has_value());
  RC_ASSERT(applied->encode() == table.encode());
}

// A wrong table could name two owners for one key.
RC_GTEST_PROP(OwnerTableDeltaProperty, DeltaForAnotherTableIsRejectedOrYieldsTheSameTable,
              (const Edits& before, const Edits& between, const Edits& after)) {
  const std::vector<OwnerLocation> owners = locations(7);
  const OwnerTable known = edited(OwnerTable::divideEvenly(owners, 5, 1), before, owners);
  const OwnerTable other = edited(known, between, owners);
  const OwnerTable table = edited(other, after, owners);
  const auto applied = applyDelta(other, makeDelta(table, digestOf(known)));
  const auto applied_to_earlier = applyDelta(known, makeDelta(table, digestOf(other)));
  // RC_ASSERT would evaluate both operands of ||.
  const bool correct = !applied || applied->encode() == table.encode();
  const bool earlier_correct = !applied_to_earlier || applied_to_earlier->encode() == table.encode();
  RC_ASSERT(correct);
  RC_ASSERT(earlier_correct);
}

class OwnerTableDeltaTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kOwners = 95;
  static constexpr std::uint32_t kRangesPerOwner = 10;

  const std::vector<OwnerLocation> owners_ = locations(kOwners);
  const OwnerTable earlier_ = OwnerTable::divideEvenly(owners_, kRangesPerOwner);
};

TEST_F(OwnerTableDeltaTest, ContainsOnlyRangesNearTheChange) {
  OwnerTable later = earlier_;
  later.beginChange(0);
  const OwnedRange* range = later.find(1000);
  ASSERT_TRUE(later.beginRelease({1000, range->keys.last}, range->owner));
  const OwnerTableDeltaFrame delta = makeDelta(later, digestOf(earlier_));
  EXPECT_GE(delta.ranges.size(), 2U);
  EXPECT_LE(delta.ranges.size(), 10U);
}

TEST_F(OwnerTableDeltaTest, ContainsNoRangesOfAnEqualTable) {
  EXPECT_TRUE(makeDelta(earlier_, digestOf(earlier_)).ranges.empty());
}

TEST_F(OwnerTableDeltaTest, ContainsAllRangesWithoutAnEarlierTable) {
  const OwnerTableDeltaFrame delta = makeDelta(earlier_, digestOf(OwnerTable()));
  EXPECT_EQ(delta.ranges.size(), earlier_.ranges().size());
  const auto applied = applyDelta(OwnerTable(), delta);
  ASSERT_TRUE(applied.has_value());
  EXPECT_EQ(*applied, earlier_);
}

TEST_F(OwnerTableDeltaTest, DigestOfAnotherLengthIsNotCompared) {
  EXPECT_EQ(makeDelta(earlier_, OwnerTableDigest{1, 2, 3}).ranges.size(), earlier_.ranges().size());
}

// Two segments with different ranges may have the same short hash.
TEST_F(OwnerTableDeltaTest, DeltaThatLacksAChangedRangeIsRejected) {
  OwnerTable later = earlier_;
  later.beginChange(0);
  ASSERT_TRUE(later.assign(later.find(1000)->keys, owners_[0], {}));
  OwnerTableDeltaFrame delta = makeDelta(later, digestOf(earlier_));
  ASSERT_TRUE(applyDelta(earlier_, delta).has_value());
  delta.ranges.clear();
  EXPECT_FALSE(applyDelta(earlier_, delta).has_value());
}

TEST_F(OwnerTableDeltaTest, InvalidRangesAreRejected) {
  const OwnerTableDeltaFrame valid = makeDelta(earlier_, {});
  OwnerTableDeltaFrame unknown_owner = valid;
  unknown_owner.ranges.front().owner = kOwners + 1;
  EXPECT_FALSE(applyDelta(earlier_, unknown_owner).has_value());
  OwnerTableDeltaFrame reversed = valid;
  std::swap(reversed.ranges.front().first, reversed.ranges.front().last);
  EXPECT_FALSE(applyDelta(earlier_, reversed).has_value());
  OwnerTableDeltaFrame gap = valid;
  gap.ranges.erase(gap.ranges.begin() + 1);
  EXPECT_FALSE(applyDelta(OwnerTable(), gap).has_value());
  OwnerTableDeltaFrame overlapping = valid;
  ++overlapping.ranges.front().last;
  EXPECT_FALSE(applyDelta(OwnerTable(), overlapping).has_value());
}

}  // namespace
}  // namespace shedlever::test
