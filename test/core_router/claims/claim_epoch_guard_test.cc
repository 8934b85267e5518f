/// @file
/// What an unclaimed key means after the store was restored from a backup.

#include "source/core/router/claims/claim_epoch_guard.h"

#include <gtest/gtest.h>

#include "test/support/manual_clock.h"
#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ClaimEpochGuardTest : public ::testing::Test {
 protected:
  ClaimEpochGuardTest() { guard_.enable(); }

  void advance(Duration span) {
    clock_.advance(span);
    guard_.tick(clock_.now());
  }

  /// The process has run for a minute when the store is restored.
  void observeRestore() {
    store_.current_epoch = 1;
    advance(seconds(60));
    store_.current_epoch = 2;
    guard_.onStoreRestored();
  }

  /// The process starts after the store was restored.
  void startInEpoch(StoreEpoch epoch) {
    store_.current_epoch = epoch;
    advance(milliseconds(50));
  }

  void answerMarkRead(StoreStatus status) {
    ASSERT_EQ(store_.gets.size(), 1U);
    store_.gets.front().done({status, {}, store_.current_epoch});
    store_.gets.clear();
  }

  UnclaimedKey unclaimedKey() const { return guard_.unclaimedKey(clock_.now()); }

  ManualClock clock_;
  ScriptedStore store_;
  ProcessEndTracker process_ends_{clock_.now()};
  ClaimEpochGuard guard_{NodeName("a"), store_, clock_, process_ends_};
};

TEST_F(ClaimEpochGuardTest, KeysAreFreeInAStoreThatWasNeverRestored) {
  startInEpoch(1);
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Free);
  advance(seconds(60));
  EXPECT_TRUE(store_.gets.empty());
  EXPECT_TRUE(store_.creates.empty());
}

TEST_F(ClaimEpochGuardTest, KeysAreFreeAfterTheGrantDelayIfNoProcessHasEnded) {
  observeRestore();
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Undecided);
  advance(milliseconds(2499));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Undecided);
  advance(milliseconds(1));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Free);
  EXPECT_TRUE(store_.gets.empty());
}

TEST_F(ClaimEpochGuardTest, KeysMayBeLostForTheAgeOfABackupIfAProcessHasEnded) {
  store_.current_epoch = 1;
  advance(seconds(60));
  process_ends_.onLost(NodeName("b"), clock_.now());
  advance(seconds(30));
  store_.current_epoch = 2;
  guard_.onStoreRestored();
  advance(milliseconds(2500));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::MayBeLost);
  advance(milliseconds(27499));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::MayBeLost);
  advance(milliseconds(1));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Free);
}

TEST_F(ClaimEpochGuardTest, EndNoticedAfterTheRestoreCountsAsWell) {
  observeRestore();
  advance(seconds(4));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Free);
  process_ends_.onLost(NodeName("b"), clock_.now());
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::MayBeLost);
}

TEST_F(ClaimEpochGuardTest, EndBeforeTheOldestBackupDoesNotCount) {
  store_.current_epoch = 1;
  process_ends_.onLost(NodeName("b"), clock_.now());
  observeRestore();
  advance(milliseconds(2500));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Free);
}

TEST_F(ClaimEpochGuardTest, SecondRestoreBeginsAnew) {
  observeRestore();
  advance(seconds(2));
  store_.current_epoch = 3;
  guard_.onStoreRestored();
  advance(seconds(2));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Undecided);
  advance(seconds(1));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Free);
}

TEST_F(ClaimEpochGuardTest, ProcessStartedLaterDecidesByTheMark) {
  startInEpoch(2);
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Undecided);
  answerMarkRead(StoreStatus::Done);
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Free);
}

TEST_F(ClaimEpochGuardTest, KeysMayBeLostInAnEpochWithoutAMark) {
  startInEpoch(2);
  answerMarkRead(StoreStatus::Absent);
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Undecided);
  advance(milliseconds(2500));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::MayBeLost);
  // Another process has written the mark since.
  answerMarkRead(StoreStatus::Done);
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Free);
}

TEST_F(ClaimEpochGuardTest, UnansweredReadOfTheMarkIsRepeated) {
  startInEpoch(2);
  answerMarkRead(StoreStatus::Unknown);
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Undecided);
  advance(milliseconds(150));
  answerMarkRead(StoreStatus::Done);
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Free);
}

TEST_F(ClaimEpochGuardTest, EpochIsTimedFromItsFirstObservation) {
  // The store is unreachable for a minute after the start of the process.
  advance(seconds(60));
  startInEpoch(2);
  answerMarkRead(StoreStatus::Absent);
  advance(seconds(29));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::MayBeLost);
  advance(seconds(1));
  EXPECT_EQ(unclaimedKey(), UnclaimedKey::Free);
}

TEST_F(ClaimEpochGuardTest, MarkIsWrittenOnceTheEpochIsOldEnough) {
  observeRestore();
  advance(milliseconds(29900));
  EXPECT_TRUE(store_.creates.empty());
  advance(milliseconds(5200));
  ASSERT_EQ(store_.creates.size(), 1U);
  EXPECT_EQ(store_.creates.front().kind, kClaimEpochKind);
  EXPECT_EQ(store_.creates.front().object.name, "epoch-2");
  store_.creates.front().done({StoreStatus::Conflict, {}, 2});
  advance(seconds(60));
  EXPECT_EQ(store_.creates.size(), 1U);
}

TEST_F(ClaimEpochGuardTest, ProcessWithoutClaimsMakesNoCalls) {
  ClaimEpochGuard unused(NodeName("a"), store_, clock_, process_ends_);
  store_.current_epoch = 2;
  unused.tick(clock_.now());
  clock_.advance(seconds(60));
  unused.tick(clock_.now());
  EXPECT_TRUE(store_.gets.empty());
  EXPECT_TRUE(store_.creates.empty());
}

}  // namespace
}  // namespace shedlever::test
