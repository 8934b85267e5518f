/// @file
/// Edits that another process writes: what is sent, and when an owner writes them itself.

#include "source/core/router/ownership/shared_writes/shared_writes.h"

#include <gtest/gtest.h>

#include "source/lab/sim/virtual_store.h"
#include "test/support/manual_clock.h"
#include "test/support/scripted_store.h"
#include "test/support/serving_node.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("search");
const OwnerLocation kFirst{InstanceId("i-a"), NodeName("a")};
const OwnerLocation kSecond{InstanceId("i-b"), NodeName("b")};
const OwnerLocation kThird{InstanceId("i-c"), NodeName("c")};

/// Node "b"; node "a" writes for all. The table has two owners.
class SharedWritesTest : public ::testing::Test {
 protected:
  struct SentEdits {
    NodeName node;
    TableEditsFrame frame;
    SharedWrites::ReplyCallback done;
  };

  SharedWritesTest() {
    config_.shared_writes_from = 2;
    for (const char* name : {"a", "b"}) {
      NodeRecord record = servingNode(name, kService, 4);
      record.wire_version = kRequestPartsWireVersion;
      directory_.update(record);
    }
    writer_.onObject({ownerTableName(kService), {0, 5}, table_.encode()});
  }

  SharedWrites::Ports ports() {
    SharedWrites::Ports ports;
    ports.writer = &writer_;
    ports.store = &store_;
    ports.clock = &clock_;
    ports.selector = {&directory_, [this](const NodeName&) { return connected_; }, [](const NodeName&) {}};
    ports.send = [this](const NodeName& node, const TableEditsFrame& frame, Duration,
                        SharedWrites::ReplyCallback done) {
      sent_.push_back({node, frame, std::move(done)});
    };
    ports.on_batch = [this](std::size_t changes, std::size_t edits) { batches_.emplace_back(changes, edits); };
    ports.on_fallback = [this](const std::string& reason, const NodeName&) { fallbacks_.push_back(reason); };
    return ports;
  }

  TableEdit giveToThird(std::size_t index) const {
    const OwnedRange range = table_.ranges().at(index);
    return TableEdit::assign(range, range.keys, kThird, {});
  }
  void change(const TableEdit& edit) {
    shared_.change({edit}, [this](const EditResults& results) { results_ = results; });
  }
  void reply(const TableEditsReplyFrame& frame) { sent_.front().done(frame); }
  /// The table after the edit, as another process has written it. @param revision of the write.
  void receiveTableWith(const TableEdit& edit, std::uint64_t revision) {
    OwnerTable newer = writer_.table();
    newer.beginChange(0);
    ASSERT_TRUE(edit.apply(newer));
    writer_.onObject({ownerTableName(kService), {0, revision}, newer.encode()});
  }
  TableEditsFrame editsOf(const TableEdit& edit) const {
    TableEditsFrame frame;
    frame.exchange = 9;
    frame.service = kService;
    frame.edits = {*edit.entry()};
    frame.epoch = store_.epoch();
    frame.known.known = writer_.revision();
    return frame;
  }
  void askToWrite(const TableEditsFrame& frame) {
    shared_.onEdits(frame, [this](const TableEditsReplyFrame& answer) { answers_.push_back(answer); });
  }
  void acceptWrite() {
    const auto call = store_.replaces.front();
    store_.replaces.pop_front();
    MetadataObject object = call.object;
    ++object.revision.count;
    call.done({StoreStatus::Done, object});
  }

  ManualClock clock_;
  sim::SeededRandom random_{20261202};
  ScriptedStore store_;
  OwnershipConfig config_;
  ServerDirectory directory_{NodeName("b"), ZoneName("zone"), ServerChoiceConfig{}, random_};
  OwnerTable table_ = OwnerTable::divideEvenly({kFirst, kSecond}, 2);
  TableWriter writer_{kService, store_, [] {}};
  std::vector<SentEdits> sent_;
  std::vector<TableEditsReplyFrame> answers_;
  std::vector<std::pair<std::size_t, std::size_t>> batches_;
  std::vector<std::string> fallbacks_;
  std::optional<EditResults> results_;
  bool connected_ = true;
  SharedWrites shared_{NodeName("b"), kService, config_, ports()};
};

TEST_F(SharedWritesTest, EditsAreSentToTheProcessThatWritesForAll) {
  change(giveToThird(1));
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_.front().node, kFirst.node);
  EXPECT_EQ(sent_.front().frame.service, kService);
  EXPECT_EQ(sent_.front().frame.known.known, StoreRevision(0, 5));
  EXPECT_TRUE(store_.replaces.empty());
  receiveTableWith(giveToThird(1), 6);
  reply({1, true, {true}, {0, 6}});
  EXPECT_EQ(results_, EditResults{EditResult::Written});
  EXPECT_TRUE(store_.gets.empty());
}

TEST_F(SharedWritesTest, TableWithFewerOwnersIsWrittenByEachItself) {
  config_.shared_writes_from = 3;
  change(giveToThird(1));
  EXPECT_TRUE(sent_.empty());
  EXPECT_EQ(store_.replaces.size(), 1U);
}

TEST_F(SharedWritesTest, SettingOfZeroSharesNoWrites) {
  config_.shared_writes_from = 0;
  change(giveToThird(1));
  EXPECT_TRUE(sent_.empty());
  EXPECT_EQ(store_.replaces.size(), 1U);
}

TEST_F(SharedWritesTest, MergeIsWrittenByTheOwnerItself) {
  change(TableEdit::mergeAdjacentRanges(kSecond.instance));
  EXPECT_TRUE(sent_.empty());
}

TEST_F(SharedWritesTest, OwnerWritesItselfWithoutAnAnswer) {
  change(giveToThird(1));
  sent_.front().done(std::nullopt);
  EXPECT_EQ(fallbacks_, std::vector<std::string>{"no answer"});
  shared_.tick(clock_.now());
  ASSERT_EQ(store_.replaces.size(), 1U);
  acceptWrite();
  EXPECT_EQ(results_, EditResults{EditResult::Written});
}

TEST_F(SharedWritesTest, OwnerWritesItselfIfTheOtherDidNotDecide) {
  change(giveToThird(1));
  reply({1, false, {}, {0, 5}});
  EXPECT_EQ(fallbacks_, std::vector<std::string>{"not decided"});
  shared_.tick(clock_.now());
  EXPECT_EQ(store_.replaces.size(), 1U);
}

TEST_F(SharedWritesTest, DecisionByAnOlderTableCountsAsNone) {
  change(giveToThird(1));
  reply({1, true, {false}, {0, 4}});
  EXPECT_EQ(fallbacks_, std::vector<std::string>{"older table"});
  shared_.tick(clock_.now());
  EXPECT_EQ(store_.replaces.size(), 1U);
}

// Guards against results of a table that a restore of the store has undone.
TEST_F(SharedWritesTest, DecisionOfAnotherEpochCountsAsNone) {
  change(giveToThird(1));
  store_.current_epoch = 1;
  reply({1, true, {true}, {0, 6}});
  EXPECT_EQ(fallbacks_, std::vector<std::string>{"another epoch"});
  EXPECT_FALSE(results_);
}

TEST_F(SharedWritesTest, ResultWaitsForTheTableOfTheReply) {
  change(giveToThird(1));
  reply({1, true, {true}, {0, 6}});
  EXPECT_FALSE(results_);
  receiveTableWith(giveToThird(1), 6);
  shared_.tick(clock_.now());
  EXPECT_EQ(results_, EditResults{EditResult::Written});
  EXPECT_TRUE(fallbacks_.empty());
}

// Guards against a change that never ends because its table does not arrive; that it was written shows in the conflict.
TEST_F(SharedWritesTest, TableThatDoesNotArriveIsFoundByAWriteOfItsOwn) {
  change(giveToThird(1));
  reply({1, true, {true}, {0, 6}});
  clock_.advance(milliseconds(300));
  shared_.tick(clock_.now());
  EXPECT_EQ(fallbacks_, std::vector<std::string>{"table not received"});
  ASSERT_EQ(store_.replaces.size(), 1U);
  OwnerTable newer = table_;
  newer.beginChange(0);
  ASSERT_TRUE(giveToThird(1).apply(newer));
  store_.replaces.front().done({StoreStatus::Conflict, {ownerTableName(kService), {0, 6}, newer.encode()}});
  EXPECT_EQ(results_, EditResults{EditResult::AlreadyDone});
}

// Guards against the conflicts of owners that all write by themselves because they lost the same writer.
TEST_F(SharedWritesTest, NextProcessIsAskedBeforeTheOwnerWritesItself) {
  NodeRecord next = servingNode("aa", kService, 4);
  next.wire_version = kRequestPartsWireVersion;
  directory_.update(next);
  change(giveToThird(1));
  sent_.front().done(std::nullopt);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_EQ(sent_.back().node, next.node);
  EXPECT_TRUE(store_.replaces.empty());
  sent_.back().done(std::nullopt);
  EXPECT_EQ(sent_.size(), 2U);
  EXPECT_EQ(store_.replaces.size(), 1U);
}

TEST_F(SharedWritesTest, LateReplyAfterAFallbackChangesNothing) {
  change(giveToThird(1));
  sent_.front().done(std::nullopt);
  shared_.tick(clock_.now());
  acceptWrite();
  reply({1, true, {false}, {0, 9}});
  EXPECT_EQ(results_, EditResults{EditResult::Written});
}

TEST_F(SharedWritesTest, ChangeWaitsForAStreamThenIsWrittenByTheOwnerItself) {
  connected_ = false;
  change(giveToThird(1));
  EXPECT_TRUE(store_.replaces.empty());
  clock_.advance(milliseconds(800));
  shared_.tick(clock_.now());
  EXPECT_EQ(fallbacks_, std::vector<std::string>{"no writer connected"});
  EXPECT_EQ(store_.replaces.size(), 1U);
}

TEST_F(SharedWritesTest, EditsOfOthersAndOwnOnesGoInOneWrite) {
  directory_.markUnreachable(kFirst.node);
  askToWrite(editsOf(giveToThird(0)));
  askToWrite(editsOf(TableEdit::beginRelease(table_.ranges()[0], table_.ranges()[0].keys)));
  change(giveToThird(1));
  EXPECT_TRUE(store_.replaces.empty());
  shared_.tick(clock_.now());
  ASSERT_EQ(store_.replaces.size(), 1U);
  acceptWrite();
  EXPECT_TRUE(store_.replaces.empty());
  EXPECT_EQ(results_, EditResults{EditResult::Written});
  ASSERT_EQ(answers_.size(), 2U);
  EXPECT_EQ(answers_[0].exchange, 9U);
  EXPECT_TRUE(answers_[0].decided);
  EXPECT_EQ(answers_[0].written, std::vector<bool>{true});
  EXPECT_EQ(answers_[0].revision, StoreRevision(0, 6));
  EXPECT_EQ(answers_[1].written, std::vector<bool>{false});
  EXPECT_EQ(batches_, (std::vector<std::pair<std::size_t, std::size_t>>{{2, 2}}));
}

TEST_F(SharedWritesTest, EditsThatFollowABatchCloselyWaitForTheNextOne) {
  askToWrite(editsOf(giveToThird(0)));
  shared_.tick(clock_.now());
  acceptWrite();
  askToWrite(editsOf(giveToThird(1)));
  shared_.tick(clock_.now());
  EXPECT_TRUE(store_.replaces.empty());
  clock_.advance(milliseconds(50));
  shared_.tick(clock_.now());
  EXPECT_EQ(store_.replaces.size(), 1U);
}

// Guards against edits that apply to an earlier state of their keys, which a restored store may hold again.
TEST_F(SharedWritesTest, EditsOfAnEarlierEpochAreNotApplied) {
  TableEditsFrame frame = editsOf(giveToThird(0));
  store_.current_epoch = 1;
  askToWrite(frame);
  ASSERT_EQ(answers_.size(), 1U);
  EXPECT_FALSE(answers_[0].decided);
  shared_.tick(clock_.now());
  EXPECT_TRUE(store_.replaces.empty());
}

TEST_F(SharedWritesTest, EditsThatWaitDuringARestoreAreNotApplied) {
  store_.current_epoch = 1;
  askToWrite(editsOf(giveToThird(0)));
  shared_.tick(clock_.now());
  store_.current_epoch = 2;
  writer_.onObject({ownerTableName(kService), {2, 3}, [this] {
                      OwnerTable restored = table_;
                      restored.beginChange(2);
                      return restored.encode();
                    }()});
  writer_.tick(clock_.now());
  ASSERT_EQ(answers_.size(), 1U);
  EXPECT_FALSE(answers_[0].decided);
  EXPECT_TRUE(store_.replaces.empty());
}

// Guards against a refusal of edits that apply to the sender's table but not to an older one.
TEST_F(SharedWritesTest, NewerTableOfTheSenderIsReadBeforeItsEditsAreApplied) {
  OwnerTable newer = table_;
  newer.beginChange(0);
  ASSERT_TRUE(newer.assign(newer.ranges()[0].keys, kSecond, {}));
  const TableEdit edit = TableEdit::assign(newer.ranges()[0], newer.ranges()[0].keys, kThird, {});
  TableEditsFrame frame = editsOf(edit);
  frame.known.known = {0, 6};
  askToWrite(frame);
  shared_.tick(clock_.now());
  ASSERT_EQ(store_.gets.size(), 1U);
  store_.gets.front().done({StoreStatus::Done, {ownerTableName(kService), {0, 6}, newer.encode()}});
  ASSERT_EQ(store_.replaces.size(), 1U);
  acceptWrite();
  EXPECT_EQ(answers_.at(0).written, std::vector<bool>{true});
}

// Guards against a write for each of many owners that reclaim their ranges one shortly after the other.
TEST_F(SharedWritesTest, EditsOfFiveHundredOwnersInTwoSecondsTakeFewWrites) {
  constexpr std::size_t kOwners = 500;
  constexpr Duration kStep = milliseconds(4);
  std::vector<OwnerLocation> owners;
  for (std::size_t i = 0; i < kOwners; ++i) {
    owners.push_back({InstanceId("i-" + std::to_string(i)), NodeName("n-" + std::to_string(i))});
  }
  table_ = OwnerTable::divideEvenly(owners);
  writer_.onObject({ownerTableName(kService), {0, 6}, table_.encode()});
  std::size_t writes = 0;
  for (std::size_t i = 0; i < kOwners; ++i) {
    const OwnerLocation restarted{InstanceId("j-" + std::to_string(i)), owners[i].node};
    askToWrite(editsOf(TableEdit::assign(table_.ranges()[i], table_.ranges()[i].keys, restarted, {})));
    shared_.tick(clock_.now());
    clock_.advance(kStep);
    for (; !store_.replaces.empty(); ++writes) {
      acceptWrite();
    }
  }
  clock_.advance(milliseconds(50));
  shared_.tick(clock_.now());
  for (; !store_.replaces.empty(); ++writes) {
    acceptWrite();
  }
  ASSERT_EQ(answers_.size(), kOwners);
  EXPECT_TRUE(std::all_of(answers_.begin(), answers_.end(), [](const auto& answer) { return answer.written.at(0); }));
  EXPECT_LE(writes, kOwners / 10);
}

}  // namespace
}  // namespace shedlever::test
