/// @file
/// Writes of the owner table: which changes go together, and what each is told.

#include "source/core/router/ownership/table_writer.h"

#include <gtest/gtest.h>

#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("search");
const OwnerLocation kFirst{InstanceId("i-first"), NodeName("first")};
const OwnerLocation kSecond{InstanceId("i-second"), NodeName("second")};
const OwnerLocation kThird{InstanceId("i-third"), NodeName("third")};

/// The table in the store is divided between kFirst and kSecond, in four ranges.
class TableWriterTest : public ::testing::Test {
 protected:
  TableWriterTest() : writer_(kService, store_, [] {}) {
    writer_.onObject({ownerTableName(kService), {0, 1}, stored_.encode()});
  }

  OwnedRange range(std::size_t index) const { return writer_.table().ranges().at(index); }
  TableEdit giveToThird(std::size_t index) const {
    return TableEdit::assign(range(index), range(index).keys, kThird, {});
  }
  /// Queues the change. @param results receives its results, once it has ended.
  void queue(const TableEdit& edit, EditResults& results) {
    writer_.change({edit}, [&results](const EditResults& ended) { results = ended; });
  }
  /// Answers the write that was sent first.
  void answerWrite(StoreStatus status, const OwnerTable& table, std::uint64_t revision) {
    const auto call = store_.replaces.front();
    store_.replaces.pop_front();
    call.done({status, {call.object.name, {0, revision}, table.encode()}});
  }
  /// As the store does when the condition is met.
  void acceptWrite() {
    const MetadataObject object = store_.replaces.front().object;
    answerWrite(StoreStatus::Done, tableOf(object), object.revision.count + 1);
  }
  static OwnerTable tableOf(const MetadataObject& object) {
    return leaf::try_handle_all([&] { return OwnerTable::decode(object.value); }, [] { return OwnerTable(); });
  }
  void loseAnswer() {
    const auto call = store_.replaces.front();
    store_.replaces.pop_front();
    call.done({});
  }

  ScriptedStore store_;
  OwnerTable stored_ = OwnerTable::divideEvenly({kFirst, kSecond}, 2);
  TableWriter writer_;
  EditResults first_;
  EditResults second_;
  EditResults third_;
};

const EditResults kWritten{EditResult::Written};
const EditResults kNoLongerApplies{EditResult::NoLongerApplies};
const EditResults kAlreadyDone{EditResult::AlreadyDone};

// Guards against a write for each change: the calls are limited, and owners wait for their keys meanwhile.
TEST_F(TableWriterTest, ChangesThatWaitForAWriteGoInOneWrite) {
  queue(giveToThird(0), first_);
  queue(giveToThird(1), second_);
  queue(giveToThird(2), third_);
  ASSERT_EQ(store_.replaces.size(), 1U);
  acceptWrite();
  EXPECT_EQ(first_, kWritten);
  EXPECT_TRUE(second_.empty());
  ASSERT_EQ(store_.replaces.size(), 1U);
  acceptWrite();
  EXPECT_EQ(second_, kWritten);
  EXPECT_EQ(third_, kWritten);
  EXPECT_TRUE(store_.replaces.empty());
  EXPECT_TRUE(writer_.idle());
  EXPECT_EQ(writer_.table().ownedBy(kThird.instance).size(), 3U);
}

TEST_F(TableWriterTest, EachChangeOfABatchHasItsOwnResults) {
  queue(giveToThird(0), first_);
  const TableEdit conflicting = TableEdit::beginRelease(range(0), range(0).keys);
  queue(conflicting, second_);
  queue(giveToThird(1), third_);
  acceptWrite();
  ASSERT_EQ(store_.replaces.size(), 1U);
  acceptWrite();
  EXPECT_EQ(second_, kNoLongerApplies);
  EXPECT_EQ(third_, kWritten);
}

TEST_F(TableWriterTest, AfterAConflictAllChangesAreAppliedToTheNewestTable) {
  queue(giveToThird(0), first_);
  queue(giveToThird(1), second_);
  OwnerTable newer = stored_;
  newer.beginChange(0);
  ASSERT_TRUE(newer.assign(newer.ranges()[0].keys, kSecond, {}));
  answerWrite(StoreStatus::Conflict, newer, 7);
  ASSERT_EQ(store_.replaces.size(), 1U);
  EXPECT_EQ(store_.replaces.front().object.revision, StoreRevision(0, 7));
  acceptWrite();
  EXPECT_EQ(first_, kNoLongerApplies);
  EXPECT_EQ(second_, kWritten);
  EXPECT_EQ(range(0).owner, kSecond.instance);
}

// Guards against a change that is reported as not written, or is written twice, because the answer was lost.
TEST_F(TableWriterTest, ChangeWhoseAnswerWasLostIsFoundInTheTable) {
  queue(giveToThird(0), first_);
  const OwnerTable written = tableOf(store_.replaces.front().object);
  loseAnswer();
  writer_.tick(TimePoint(seconds(1)));
  writer_.tick(TimePoint(seconds(2)));
  ASSERT_EQ(store_.gets.size(), 1U);
  store_.gets.front().done({StoreStatus::Done, {ownerTableName(kService), {0, 2}, written.encode()}});
  EXPECT_EQ(first_, kAlreadyDone);
  EXPECT_TRUE(store_.replaces.empty());
}

// Guards against results that are told together with the table of a later write.
TEST_F(TableWriterTest, ChangeQueuedByACallbackIsWrittenAfterTheCallbacksOfItsBatch) {
  queue(giveToThird(0), first_);
  StoreRevision base_of_second;
  StoreRevision base_of_third;
  writer_.change({giveToThird(1)}, [&](const EditResults&) {
    base_of_second = writer_.previousVersion().revision;
    queue(giveToThird(3), third_);
  });
  writer_.change({giveToThird(2)}, [&](const EditResults&) { base_of_third = writer_.previousVersion().revision; });
  acceptWrite();
  acceptWrite();
  EXPECT_EQ(base_of_second, StoreRevision(0, 2));
  EXPECT_EQ(base_of_third, StoreRevision(0, 2));
  ASSERT_EQ(store_.replaces.size(), 1U);
  acceptWrite();
  EXPECT_EQ(third_, kWritten);
}

}  // namespace
}  // namespace shedlever::test
