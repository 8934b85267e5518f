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

  /// Applies the edits in order. @return whether any of them changed the table.
  bool apply(const std::vector<TableEdit>& edits) {
    bool changed = false;
    for (const TableEdit& edit : edits) {
      changed = edit.apply(table_) || changed;
    }
    return changed;
  }

  OwnerTable table_ = OwnerTable::divideEvenly({kSelf, kOther}, 2);
};

TEST_F(OwnerTableEditsTest, ConfirmedRangesKeepTheirOwnerAndStateUnderNewTokens) {
  ASSERT_TRUE(table_.assign(range(0).keys, kSelf, "state"));
  const OwnerTable before = table_;
  EXPECT_TRUE(apply(confirmRanges(table_, kSelf)));
  EXPECT_GT(range(0).token, before.ranges()[0].token);
  EXPECT_EQ(range(0).handover, "state");
  EXPECT_GT(range(2).token, before.ranges()[2].token);
  EXPECT_EQ(range(1), before.ranges()[1]);
  EXPECT_EQ(range(3), before.ranges()[3]);
}

TEST_F(OwnerTableEditsTest, ConfirmationOfAServerWithoutRangesChangesNothing) {
  EXPECT_FALSE(apply(confirmRanges(table_, kThird)));
}

TEST_F(OwnerTableEditsTest, RangesOfAnEarlierInstanceAreReclaimed) {
  const OwnerLocation restarted{InstanceId("i-self-2"), kSelf.node};
  EXPECT_TRUE(needsReclaim(range(0), restarted, true, EarlierGrants::RunOut));
  EXPECT_TRUE(apply(reclaimRanges(table_, restarted, EarlierGrants::RunOut)));
  EXPECT_EQ(owners(), (std::vector{restarted.instance, kOther.instance, restarted.instance, kOther.instance}));
}

TEST_F(OwnerTableEditsTest, ReleaseOfAnEarlierProcessIsAborted) {
  ASSERT_TRUE(table_.beginRelease(range(0).keys, kSelf.instance));
  EXPECT_TRUE(needsReclaim(range(0), kSelf, false, EarlierGrants::RunOut));
  EXPECT_FALSE(needsReclaim(range(0), kSelf, true, EarlierGrants::RunOut));
  EXPECT_TRUE(apply(reclaimRanges(table_, kSelf, EarlierGrants::RunOut)));
  EXPECT_FALSE(range(0).releasing);
  EXPECT_EQ(range(0).owner, kSelf.instance);
}

TEST_F(OwnerTableEditsTest, OwnRangesNeedNoReclaim) {
  EXPECT_FALSE(needsReclaim(range(0), kSelf, false, EarlierGrants::RunOut));
  EXPECT_FALSE(apply(reclaimRanges(table_, kSelf, EarlierGrants::RunOut)));
}

TEST_F(OwnerTableEditsTest, PiecesOfAnEndedServerGoToTheOthersInTurn) {
  const KeyRange whole = range(0).keys;
  const Key middle = static_cast<Key>(whole.first + whole.size() / 2);
  const std::vector<KeyRange> pieces = {
      {whole.first, middle}, {static_cast<Key>(middle + 1), whole.last}, range(2).keys};
  EXPECT_TRUE(apply(reassignPieces(table_, kSelf.instance, pieces, {kOther, kThird})));
  EXPECT_EQ(owners(),
            (std::vector{kOther.instance, kThird.instance, kOther.instance, kOther.instance, kOther.instance}));
}

TEST_F(OwnerTableEditsTest, PieceThatHasANewOwnerIsNotReassigned) {
  const std::vector<KeyRange> pieces = {range(0).keys, range(2).keys};
  const std::vector<TableEdit> edits = reassignPieces(table_, kSelf.instance, pieces, {kOther});
  ASSERT_EQ(edits.size(), 2U);
  ASSERT_TRUE(table_.assign(range(0).keys, kThird, {}));
  EXPECT_TRUE(apply(edits));
  EXPECT_EQ(owners(), (std::vector{kThird.instance, kOther.instance, kOther.instance, kOther.instance}));
  EXPECT_FALSE(apply(edits));
  EXPECT_FALSE(apply(reassignPieces(table_, kSelf.instance, pieces, {kOther})));
}

TEST_F(OwnerTableEditsTest, RangesAreTakenOverInTurnUnlessConfirmedSince) {
  const std::vector<OwnedRange> lost = table_.ownedAt(kOther.node);
  ASSERT_TRUE(table_.assign(range(1).keys, kOther, {}));
  EXPECT_TRUE(apply(takeOver(lost, {kThird, kSelf})));
  EXPECT_EQ(owners(), (std::vector{kSelf.instance, kOther.instance, kSelf.instance, kSelf.instance}));
}

TEST_F(OwnerTableEditsTest, RangeThatWasSplitSinceIsNotTakenOver) {
  const std::vector<OwnedRange> lost = {range(1)};
  ASSERT_NE(table_.splitOff({range(1).keys.first, range(1).keys.first}), nullptr);
  EXPECT_FALSE(apply(takeOver(lost, {kThird})));
}

TEST_F(OwnerTableEditsTest, TokenIsRaisedForTheSameOwner) {
  const OwnedRange before = range(0);
  EXPECT_TRUE(raiseToken(before, kSelf).apply(table_));
  EXPECT_EQ(range(0).owner, kSelf.instance);
  EXPECT_GT(range(0).token, before.token);
  EXPECT_FALSE(raiseToken(before, kSelf).apply(table_));
}

TEST_F(OwnerTableEditsTest, TokenIsNotRaisedWhileTheRangeIsBeingReleasedOrHasAnotherOwner) {
  EXPECT_FALSE(raiseToken(range(1), kSelf).apply(table_));
  ASSERT_TRUE(table_.beginRelease(range(0).keys, kSelf.instance));
  EXPECT_FALSE(raiseToken(range(0), kSelf).apply(table_));
}

// A confirmation made for a table that lacked a range must not count as one of that range: another node may take the
// range over under the token that it had when the lease was revoked.
TEST_F(OwnerTableEditsTest, RangeThatTheConfirmationDidNotKnowIsNotConfirmed) {
  const std::vector<TableEdit> edits = confirmRanges(table_, kSelf);
  ASSERT_TRUE(table_.assign(range(1).keys, kSelf, {}));
  ASSERT_TRUE(apply(edits));
  const EditResults results(edits.size(), EditResult::Written);
  EXPECT_FALSE(allConfirmed(table_, kSelf.instance, edits, results));
  const std::vector<TableEdit> again = confirmRanges(table_, kSelf);
  ASSERT_TRUE(apply(again));
  EXPECT_TRUE(allConfirmed(table_, kSelf.instance, again, EditResults(again.size(), EditResult::Written)));
}

// An effect that was in the table before may be older than the revocation, so it confirms nothing.
TEST_F(OwnerTableEditsTest, TokenGivenOutBeforeTheConfirmationDoesNotConfirmARange) {
  const std::vector<TableEdit> edits = confirmRanges(table_, kSelf);
  ASSERT_TRUE(apply(edits));
  EditResults results(edits.size(), EditResult::Written);
  ASSERT_TRUE(allConfirmed(table_, kSelf.instance, edits, results));
  results.back() = EditResult::AlreadyDone;
  EXPECT_FALSE(allConfirmed(table_, kSelf.instance, edits, results));
}

}  // namespace
}  // namespace shedlever::test
