/// @file
/// Epochs of a restored store are kept apart, whatever the numbers of its revisions.

#include "source/core/router/store/restorable_store.h"

#include <gtest/gtest.h>

#include <optional>

#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

class RestorableStoreTest : public ::testing::Test {
 protected:
  /// The store answers a read in that epoch.
  void answerInEpoch(StoreEpoch epoch) {
    store_.get("k", "other", [](const StoreAnswer&) {});
    raw_.gets.back().done({StoreStatus::Absent, {}, epoch});
  }

  MetadataStore::AnswerCallback recordAnswer() {
    return [this](const StoreAnswer& answer) { answer_ = answer; };
  }

  MetadataStore::WatchCallback recordWatch() {
    return [this](const WatchResult& answer) { watched_ = answer; };
  }

  ScriptedStore raw_;
  std::vector<std::pair<StoreEpoch, StoreEpoch>> restored_;
  int epoch_missing_ = 0;
  std::optional<StoreAnswer> answer_;
  std::optional<WatchResult> watched_;
  RestorableStore store_{raw_,
                         {[this](StoreEpoch before, StoreEpoch now) { restored_.emplace_back(before, now); },
                          [this] { ++epoch_missing_; }}};
};

TEST_F(RestorableStoreTest, LaterEpochIsReportedButNotTheFirst) {
  answerInEpoch(3);
  EXPECT_TRUE(restored_.empty());
  answerInEpoch(4);
  store_.observePeerEpoch(4);
  store_.observePeerEpoch(6);
  EXPECT_EQ(restored_, (std::vector<std::pair<StoreEpoch, StoreEpoch>>{{3, 4}, {4, 6}}));
}

TEST_F(RestorableStoreTest, RevisionsHaveTheEpochOfTheirAnswer) {
  answerInEpoch(3);
  store_.get("k", "n", recordAnswer());
  raw_.gets.back().done({StoreStatus::Done, {"n", 7, "{}"}, 3});
  EXPECT_EQ(answer_->object.revision, StoreRevision(3, 7));
  EXPECT_GT(StoreRevision(4, 1), answer_->object.revision);
}

TEST_F(RestorableStoreTest, AnswerOfAnEarlierEpochIsReportedAsLost) {
  store_.replace("k", {"n", {3, 7}, "{}"}, recordAnswer());
  answerInEpoch(4);
  raw_.replaces.back().done({StoreStatus::Done, {"n", 8, "{}"}, 3});
  EXPECT_EQ(answer_->status, StoreStatus::Unknown);
  store_.watch("k", {4, 1}, {}, recordWatch());
  raw_.watches.back().done({WatchStatus::Events, 9, {}, 3});
  EXPECT_EQ(watched_->status, WatchStatus::Unavailable);
  bool available = true;
  store_.list("k", ListFreshness::Latest, [&](const StoreListing& listing) { available = listing.available; });
  raw_.lists.back().done({true, 9, {}, 3});
  EXPECT_FALSE(available);
}

// Another object, or another state of this one, may have the same revision number.
TEST_F(RestorableStoreTest, ConditionOfAnEarlierEpochIsNotMet) {
  answerInEpoch(4);
  store_.replace("k", {"n", {3, 7}, "mine"}, recordAnswer());
  EXPECT_TRUE(raw_.replaces.empty());
  raw_.gets.back().done({StoreStatus::Done, {"n", 7, "another's"}, 4});
  EXPECT_EQ(answer_->status, StoreStatus::Conflict);
  EXPECT_EQ(answer_->object.revision, StoreRevision(4, 7));
  EXPECT_EQ(answer_->object.value, "another's");
  store_.remove("k", "n", {3, 7}, recordAnswer());
  EXPECT_TRUE(raw_.removes.empty());
  raw_.gets.back().done({StoreStatus::Absent, {}, 4});
  EXPECT_EQ(answer_->status, StoreStatus::Absent);
}

TEST_F(RestorableStoreTest, WriteDuringARestoreIsAConflictEvenIfItsConditionMatches) {
  answerInEpoch(3);
  store_.replace("k", {"n", {3, 7}, "mine"}, recordAnswer());
  raw_.replaces.back().done({StoreStatus::Done, {"n", 8, "mine"}, 4});
  EXPECT_EQ(answer_->status, StoreStatus::Conflict);
  EXPECT_EQ(answer_->object.revision, StoreRevision(4, 8));
}

TEST_F(RestorableStoreTest, UnconditionalWritesSucceedInAnyEpoch) {
  answerInEpoch(4);
  store_.replace("k", {"n", {}, "mine"}, recordAnswer());
  raw_.replaces.back().done({StoreStatus::Done, {"n", 8, "mine"}, 5});
  EXPECT_EQ(answer_->status, StoreStatus::Done);
}

TEST_F(RestorableStoreTest, WatchFromARevisionOfAnEarlierEpochReturnsHistoryGone) {
  answerInEpoch(3);
  store_.watch("k", {3, 7}, {}, recordWatch());
  raw_.watches.back().done({WatchStatus::Events, 9, {{false, {"n", 8, "{}"}}}, 4});
  EXPECT_EQ(watched_->status, WatchStatus::HistoryGone);
  store_.check("k", {3, 7}, recordWatch());
  raw_.checks.back().done({WatchStatus::Events, 9, {}, 4});
  EXPECT_EQ(watched_->status, WatchStatus::HistoryGone);
}

TEST_F(RestorableStoreTest, AnswerWithoutAnEpochIsOfThePresentOne) {
  answerInEpoch(3);
  store_.get("k", "n", recordAnswer());
  raw_.gets.back().done({StoreStatus::Done, {"n", 7, "{}"}, 0});
  EXPECT_EQ(answer_->object.revision, StoreRevision(3, 7));
  EXPECT_EQ(epoch_missing_, 1);
  store_.get("k", "n", recordAnswer());
  raw_.gets.back().done({});
  EXPECT_EQ(epoch_missing_, 1) << "no answer at all";
}

}  // namespace
}  // namespace shedlever::test
