/// @file
/// Edits of the owner table: each applies only to the state that it was made for, however late or often it is applied.

#include "source/core/router/ownership/table_edit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shedlever::test {
namespace {

const OwnerLocation kFirst{InstanceId("i-first"), NodeName("first")};
const OwnerLocation kSecond{InstanceId("i-second"), NodeName("second")};
const OwnerLocation kThird{InstanceId("i-third"), NodeName("third")};

OwnerTable twoOwners() { return OwnerTable::divideEvenly({kFirst, kSecond}); }

TEST(TableEditTest, PiecesOfOneRangeAreMarkedAndAssigned) {
  OwnerTable table = twoOwners();
  const OwnedRange whole = table.ranges()[0];
  const KeyRange left{0, 9};
  const KeyRange right{100, 199};
  EXPECT_TRUE(TableEdit::beginRelease(whole, left).apply(table));
  EXPECT_TRUE(TableEdit::beginRelease(whole, right).apply(table));
  const OwnedRange marked = *table.find(100);
  EXPECT_TRUE(marked.releasing);
  EXPECT_EQ(marked.keys, right);
  EXPECT_TRUE(TableEdit::assign(marked, right, kThird, "state", 7).apply(table));
  EXPECT_EQ(table.find(150)->owner, kThird.instance);
  EXPECT_EQ(table.find(150)->handover, "state");
  EXPECT_EQ(table.find(150)->rate, 7U);
  EXPECT_EQ(table.find(50)->owner, kFirst.instance);
  EXPECT_TRUE(table.find(5)->releasing);
}

TEST(TableEditTest, MarkIsRemovedUnderANewToken) {
  OwnerTable table = twoOwners();
  const OwnedRange whole = table.ranges()[0];
  ASSERT_TRUE(TableEdit::beginRelease(whole, whole.keys).apply(table));
  const TableEdit abort = TableEdit::abortRelease(table.ranges()[0]);
  EXPECT_FALSE(abort.isDone(table));
  EXPECT_TRUE(abort.apply(table));
  EXPECT_TRUE(abort.isDone(table));
  EXPECT_FALSE(table.ranges()[0].releasing);
  EXPECT_GT(table.ranges()[0].token, whole.token);
  EXPECT_FALSE(abort.apply(table));
}

TEST(TableEditTest, EditOfAnotherOwnerTokenOrStateDoesNotApply) {
  OwnerTable table = twoOwners();
  const OwnerTable before = table;
  const OwnedRange range = table.ranges()[0];
  OwnedRange other_owner = range;
  other_owner.owner = kSecond.instance;
  OwnedRange other_token = range;
  ++other_token.token;
  OwnedRange releasing = range;
  releasing.releasing = true;
  for (const OwnedRange& expected : {other_owner, other_token, releasing}) {
    EXPECT_FALSE(TableEdit::assign(expected, range.keys, kThird, {}).apply(table));
    EXPECT_FALSE(TableEdit::beginRelease(expected, range.keys).apply(table));
    EXPECT_FALSE(TableEdit::abortRelease(expected).apply(table));
  }
  EXPECT_EQ(table, before);
}

TEST(TableEditTest, EditWithKeysOutsideOfItsRangeDoesNotApply) {
  OwnerTable table = twoOwners();
  const OwnerTable before = table;
  const OwnedRange range = table.ranges()[0];
  const KeyRange beyond{range.keys.first, static_cast<Key>(range.keys.last + 1)};
  EXPECT_FALSE(TableEdit::assign(range, beyond, kThird, {}).apply(table));
  EXPECT_FALSE(TableEdit::beginRelease(range, {5, 4}).apply(table));
  EXPECT_FALSE(TableEdit::beginRelease(range, {5, 4}).isDone(table));
  EXPECT_EQ(table, before);
}

TEST(TableEditTest, AssignmentIsDoneOnceItsOwnerHasTheKeys) {
  OwnerTable table = twoOwners();
  const OwnedRange range = table.ranges()[0];
  const TableEdit edit = TableEdit::assign(range, range.keys, kThird, {});
  EXPECT_FALSE(edit.isDone(table));
  ASSERT_TRUE(edit.apply(table));
  EXPECT_TRUE(edit.isDone(table));
  ASSERT_TRUE(TableEdit::assign(table.ranges()[0], range.keys, kSecond, {}).apply(table));
  EXPECT_FALSE(edit.isDone(table));
}

/// An edit and whether it was applied once already.
struct KnownEdit {
  TableEdit edit;
  bool applied = false;
};

/// @return an edit of some kind for some keys of the range that contains the key.
TableEdit anyEdit(const OwnerTable& table, Key key, std::uint8_t kind) {
  const std::vector<OwnerLocation> places = {kFirst, kSecond, kThird};
  const OwnedRange range = *table.find(key);
  const KeyRange keys{key, range.keys.last};
  switch (kind % 3) {
    case 0:
      return TableEdit::beginRelease(range, range.releasing ? range.keys : keys);
    case 1:
      return TableEdit::assign(range, kind % 2 == 0 ? range.keys : keys, places[kind % places.size()], {});
    default:
      return TableEdit::abortRelease(range);
  }
}

// An edit that another process applies late or a second time must not change keys that have changed since.
RC_GTEST_PROP(TableEditProperty, LateOrRepeatedEditChangesOnlyTheStateThatItWasMadeFor,
              (const std::vector<std::tuple<std::uint16_t, std::uint8_t, std::uint8_t>>& steps)) {
  OwnerTable table = twoOwners();
  std::vector<KnownEdit> known;
  std::vector<FenceToken> tokens(kKeyCount, 0);
  for (const auto& [key, kind, choice] : steps) {
    const bool repeats = choice % 2 == 0 && !known.empty();
    if (!repeats) {
      known.push_back({anyEdit(table, key, kind)});
    }
    KnownEdit& chosen = repeats ? known[choice / 2 % known.size()] : known.back();
    const OwnerTable before = table;
    const bool changed = chosen.edit.apply(table);
    if (!changed) {
      RC_ASSERT(table == before);
      continue;
    }
    RC_ASSERT(!chosen.applied);
    chosen.applied = true;
    RC_ASSERT(chosen.edit.isDone(table));
    const KeyRange keys = chosen.edit.keys();
    for (std::uint32_t each = 0; each < kKeyCount; each += 97) {
      const OwnedRange* now = table.find(static_cast<Key>(each));
      RC_ASSERT(now->token >= tokens[each]);
      tokens[each] = now->token;
      if (!keys.contains(static_cast<Key>(each))) {
        const OwnedRange* earlier = before.find(static_cast<Key>(each));
        RC_ASSERT(now->token == earlier->token && now->owner == earlier->owner);
        RC_ASSERT(now->releasing == earlier->releasing);
      }
    }
    RC_ASSERT(OwnerTable::assemble(table.lastToken(), table.epoch(), table.changes(), table.ranges()).has_value());
  }
}

}  // namespace
}  // namespace shedlever::test
