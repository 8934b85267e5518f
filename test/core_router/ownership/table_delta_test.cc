/// @file
/// A change of an owner table that is made on another version of it than the one it was worked out on.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "source/core/router/owner_table.h"

namespace shedlever::test {
namespace {

const OwnerPlace kFirst{InstanceId("i-1"), NodeName("n-1")};
const OwnerPlace kSecond{InstanceId("i-2"), NodeName("n-2")};
const OwnerPlace kThird{InstanceId("i-3"), NodeName("n-3")};

OwnerTable tableOfThree() { return OwnerTable::divide({kFirst, kSecond, kThird}); }

KeySpan keysOf(const OwnerTable& table, const OwnerPlace& place) { return table.ownedBy(place.instance).front().keys; }

TableDelta releaseOf(const OwnerTable& table, const KeySpan& keys, const OwnerPlace& owner) {
  OwnerTable changed = table;
  EXPECT_TRUE(changed.beginRelease(keys, owner.instance).has_value());
  return deltaBetween(table, changed);
}

TEST(TableDeltaTest, MakesTheSameChangeOnTheSameTable) {
  const OwnerTable before = tableOfThree();
  OwnerTable after = before;
  const KeySpan keys{100, 200};
  ASSERT_TRUE(after.beginRelease(keys, kFirst.instance));
  ASSERT_TRUE(after.assign(keys, kSecond, "h", 7));
  OwnerTable made = before;
  ASSERT_TRUE(made.apply(deltaBetween(before, after)));
  EXPECT_EQ(made, after);
}

TEST(TableDeltaTest, ChangesOfOtherRowsDontMatter) {
  const OwnerTable before = tableOfThree();
  const TableDelta release = releaseOf(before, {100, 200}, kFirst);
  OwnerTable newer = before;
  ASSERT_TRUE(newer.assign(keysOf(before, kThird), kSecond, {}));
  ASSERT_TRUE(newer.apply(release));
  EXPECT_TRUE(newer.find(150)->releasing);
  EXPECT_FALSE(newer.find(201)->releasing);
  EXPECT_EQ(newer.find(65535)->owner, kSecond.instance);
}

// Asked for seconds ago, while the rows have gone to another owner, or have been taken back under a new token.
TEST(TableDeltaTest, RowsThatHaveChangedSinceAreLeftAlone) {
  const OwnerTable before = tableOfThree();
  const KeySpan keys = keysOf(before, kFirst);
  const TableDelta release = releaseOf(before, keys, kFirst);
  OwnerTable moved = before;
  ASSERT_TRUE(moved.assign(keys, kSecond, {}));
  OwnerTable unchanged = moved;
  EXPECT_FALSE(moved.apply(release));
  EXPECT_EQ(moved, unchanged);

  OwnerTable taken_back = before;
  ASSERT_TRUE(taken_back.beginRelease(keys, kFirst.instance));
  taken_back.abortRelease(keys);
  EXPECT_FALSE(taken_back.apply(release));
}

TEST(TableDeltaTest, NothingIsMadeTwice) {
  const OwnerTable before = tableOfThree();
  const TableDelta release = releaseOf(before, {100, 200}, kFirst);
  OwnerTable table = before;
  ASSERT_TRUE(table.apply(release));
  EXPECT_FALSE(table.apply(release));
}

TEST(TableDeltaTest, NewTokensAreAboveAllThatWereGivenOutMeanwhile) {
  const OwnerTable before = tableOfThree();
  OwnerTable after = before;
  ASSERT_TRUE(after.assign(keysOf(before, kFirst), kSecond, {}));
  const TableDelta delta = deltaBetween(before, after);
  OwnerTable newer = before;
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(newer.assign(keysOf(before, kThird), kThird, {}));
  }
  const FenceToken last = newer.lastToken();
  ASSERT_TRUE(newer.apply(delta));
  EXPECT_GT(newer.find(0)->token, last);
  EXPECT_EQ(newer.lastToken(), newer.find(0)->token);
}

TEST(TableDeltaTest, WhatDoesNotCoverTheSameKeysOrNamesATokenOfItsOwnIsRefused) {
  const OwnerTable table = tableOfThree();
  const OwnedRange row = table.ranges().front();
  OwnedRange shorter = row;
  shorter.keys.last = static_cast<Key>(row.keys.last - 1);
  OwnedRange forged = row;
  forged.token = row.token + 9;
  OwnerTable changed = table;
  EXPECT_FALSE(changed.apply({{row}, {}}));
  EXPECT_FALSE(changed.apply({{row}, {shorter}}));
  EXPECT_FALSE(changed.apply({{row}, {forged}}));
  EXPECT_FALSE(changed.apply({{}, {row}}));
  EXPECT_EQ(changed, table);
}

RC_GTEST_PROP(TableDeltaProperty, AnyChangeOfOneOwnerIsMadeOnAnyChangeOfAnother, ()) {
  const OwnerTable start = tableOfThree();
  const auto change = [](OwnerTable& table, const OwnerPlace& owner, const OwnerPlace& to) {
    const auto owned = table.ownedBy(owner.instance);
    const OwnedRange& range = owned[*rc::gen::inRange<std::size_t>(0, owned.size())];
    const auto first = static_cast<Key>(*rc::gen::inRange<int>(range.keys.first, range.keys.last + 1));
    const auto last = static_cast<Key>(*rc::gen::inRange<int>(first, range.keys.last + 1));
    if (range.releasing) {
      table.abortRelease(range.keys);
    } else if (table.beginRelease({first, last}, owner.instance) && *rc::gen::arbitrary<bool>()) {
      table.assign({first, last}, to, "h");
    }
  };
  OwnerTable mine = start;
  OwnerTable theirs = start;
  for (int i = *rc::gen::inRange(1, 5); i > 0 && !mine.ownedBy(kFirst.instance).empty(); --i) {
    change(mine, kFirst, kThird);
  }
  for (int i = *rc::gen::inRange(0, 5); i > 0 && !theirs.ownedBy(kSecond.instance).empty(); --i) {
    change(theirs, kSecond, kThird);
  }
  const FenceToken last = theirs.lastToken();
  RC_ASSERT(theirs.apply(deltaBetween(start, mine)));
  for (const OwnedRange& row : theirs.ranges()) {
    const OwnedRange* old = start.find(row.keys.first);
    RC_ASSERT(row.token == old->token || row.token > old->token + 1);
    RC_ASSERT(row.token <= theirs.lastToken());
  }
  RC_ASSERT(theirs.lastToken() >= last);
  RC_ASSERT(OwnerTable::decode(theirs.encode()).value() == theirs);
}

// What processes tell each other in place of whole tables: rows by their tokens.
RC_GTEST_PROP(TableRowsProperty, RowsAboveTheLastTokenKnownBringAllOwnersUpToDate, ()) {
  const std::vector<OwnerPlace> places{kFirst, kSecond, kThird};
  OwnerTable table = tableOfThree();
  OwnerTable known = table;
  const auto change = [&] {
    const std::vector<OwnedRange>& ranges = table.ranges();
    const OwnedRange range = ranges[*rc::gen::inRange<std::size_t>(0, ranges.size())];
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        table.joinNeighbours(range.owner);
        return;
      case 1:
        table.abortRelease(range.keys);
        return;
      case 2:
        table.assign(range.keys, places[*rc::gen::inRange<std::size_t>(0, places.size())], "h", 3);
        return;
      default:
        const auto first = static_cast<Key>(*rc::gen::inRange<int>(range.keys.first, range.keys.last + 1));
        const auto last = static_cast<Key>(*rc::gen::inRange<int>(first, range.keys.last + 1));
        table.beginRelease({first, last}, range.owner);
        return;
    }
  };
  for (int told = *rc::gen::inRange(1, 4); told > 0; --told) {
    for (int changes = *rc::gen::inRange(0, 12); changes > 0; --changes) {
      change();
    }
    RC_ASSERT(known.overlay(table.rowsAbove(known.lastToken()), table.lastToken()));
    for (std::uint32_t key = 0; key < kKeyCount; key += 7) {
      const OwnedRange* here = known.find(static_cast<Key>(key));
      const OwnedRange* there = table.find(static_cast<Key>(key));
      RC_ASSERT(here->owner == there->owner && here->node == there->node && here->token == there->token);
    }
    RC_ASSERT(known.lastToken() == table.lastToken());
  }
}

TEST(TableRowsTest, RowsThatMakeNoTableChangeNothing) {
  OwnerTable table;
  EXPECT_FALSE(table.overlay({OwnedRange{{5, 9}, InstanceId("i"), NodeName("n"), 7, {}, false, 0}}, 9));
  EXPECT_TRUE(table.ranges().empty());
  EXPECT_TRUE(table.overlay(tableOfThree().ranges(), 3));
  EXPECT_EQ(table, tableOfThree());
}

}  // namespace
}  // namespace shedlever::test
