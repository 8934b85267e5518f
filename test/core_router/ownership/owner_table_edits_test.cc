/// @file
/// Edits of the owner table: what each changes, and that it leaves alone ranges that have changed since it was made.

#include "source/core/router/ownership/owner_table_edits.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

const OwnerLocation kSelf{InstanceId("i-self"), NodeName("self")};
const OwnerLocation kOther{InstanceId("i-other"), NodeName("other")};
const OwnerLocation kThird{InstanceId("i-third"), NodeName("third")};

/// The two servers take turns in four ranges, beginning with kSelf.
class OwnerTableEditsTest : public ::testing::Test {
 protected:
  OwnedRange range(std::size_t index) const { return table_.ranges().at(index); }

  /// @return the owners of the ranges in order.
  std::vector<InstanceId> owners() const {
    std::vector<InstanceId> made;
    for (const OwnedRange& owned : table_.ranges()) {
      made.push_back(owned.owner);
    }
    return made;
  }

  OwnerTable table_ = OwnerTable::divideEvenly({kSelf, kOther}, 2);
};

TEST_F(OwnerTableEditsTest, ConfirmedRangesKeepTheirOwnerAndStateUnderNewTokens) {
  ASSERT_TRUE(table_.assign(range(0).keys, kSelf, "state"));
  const OwnerTable before = table_;
  EXPECT_TRUE(confirmRanges(kSelf)(table_));
  EXPECT_GT(range(0).token, before.ranges()[0].token);
  EXPECT_EQ(range(0).handover, "state");
  EXPECT_GT(range(2).token, before.ranges()[2].token);
  EXPECT_EQ(range(1), before.ranges()[1]);
  EXPECT_EQ(range(3), before.ranges()[3]);
}

TEST_F(OwnerTableEditsTest, ConfirmationOfAServerWithoutRangesChangesNothing) {
  EXPECT_FALSE(confirmRanges(kThird)(table_));
}

TEST_F(OwnerTableEditsTest, RangesOfAnEarlierInstanceAreReclaimed) {
  const OwnerLocation restarted{InstanceId("i-self-2"), kSelf.node};
  EXPECT_TRUE(needsReclaim(range(0), restarted, true));
  EXPECT_TRUE(reclaimRanges(restarted)(table_));
  EXPECT_EQ(owners(), (std::vector{restarted.instance, kOther.instance, restarted.instance, kOther.instance}));
}

TEST_F(OwnerTableEditsTest, ReleaseOfAnEarlierProcessIsAborted) {
  ASSERT_TRUE(table_.beginRelease(range(0).keys, kSelf.instance));
  EXPECT_TRUE(needsReclaim(range(0), kSelf, false));
  EXPECT_FALSE(needsReclaim(range(0), kSelf, true));
  EXPECT_TRUE(reclaimRanges(kSelf)(table_));
  EXPECT_FALSE(range(0).releasing);
  EXPECT_EQ(range(0).owner, kSelf.instance);
}

TEST_F(OwnerTableEditsTest, OwnRangesNeedNoReclaim) {
  EXPECT_FALSE(needsReclaim(range(0), kSelf, false));
  EXPECT_FALSE(reclaimRanges(kSelf)(table_));
}

TEST_F(OwnerTableEditsTest, PiecesOfAnEndedServerGoToTheOthersInTurn) {
  const KeyRange whole = range(0).keys;
  const Key middle = static_cast<Key>(whole.first + whole.size() / 2);
  const std::vector<KeyRange> pieces = {
      {whole.first, middle}, {static_cast<Key>(middle + 1), whole.last}, range(2).keys};
  EXPECT_TRUE(reassignPieces(kSelf.instance, pieces, {kOther, kThird})(table_));
  EXPECT_EQ(owners(),
            (std::vector{kOther.instance, kThird.instance, kOther.instance, kOther.instance, kOther.instance}));
}

TEST_F(OwnerTableEditsTest, PieceThatHasANewOwnerIsNotReassigned) {
  const std::vector<KeyRange> pieces = {range(0).keys, range(2).keys};
  ASSERT_TRUE(table_.assign(range(0).keys, kThird, {}));
  EXPECT_TRUE(reassignPieces(kSelf.instance, pieces, {kOther})(table_));
  EXPECT_EQ(owners(), (std::vector{kThird.instance, kOther.instance, kOther.instance, kOther.instance}));
  EXPECT_FALSE(reassignPieces(kSelf.instance, pieces, {kOther})(table_));
}

TEST_F(OwnerTableEditsTest, RangesAreTakenOverInTurnUnlessConfirmedSince) {
  const std::vector<OwnedRange> lost = table_.ownedAt(kOther.node);
  ASSERT_TRUE(table_.assign(range(1).keys, kOther, {}));
  EXPECT_TRUE(takeOver(lost, {kThird, kSelf})(table_));
  EXPECT_EQ(owners(), (std::vector{kSelf.instance, kOther.instance, kSelf.instance, kSelf.instance}));
}

TEST_F(OwnerTableEditsTest, RangeThatWasSplitSinceIsNotTakenOver) {
  const std::vector<OwnedRange> lost = {range(1)};
  ASSERT_NE(table_.splitOff({range(1).keys.first, range(1).keys.first}), nullptr);
  EXPECT_FALSE(takeOver(lost, {kThird})(table_));
}

TEST_F(OwnerTableEditsTest, TokenIsRaisedForTheSameOwner) {
  const OwnedRange before = range(0);
  EXPECT_TRUE(raiseToken(before, kSelf)(table_));
  EXPECT_EQ(range(0).owner, kSelf.instance);
  EXPECT_GT(range(0).token, before.token);
  EXPECT_FALSE(raiseToken(before, kSelf)(table_));
}

TEST_F(OwnerTableEditsTest, TokenIsNotRaisedWhileTheRangeIsBeingReleasedOrHasAnotherOwner) {
  EXPECT_FALSE(raiseToken(range(1), kSelf)(table_));
  ASSERT_TRUE(table_.beginRelease(range(0).keys, kSelf.instance));
  EXPECT_FALSE(raiseToken(range(0), kSelf)(table_));
}

}  // namespace
}  // namespace shedlever::test
