/// @file
/// Changes of a table that wait together, and those that another process makes.

#include "source/core/router/table_writer.h"

#include <gtest/gtest.h>

#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

const OwnerPlace kFirst{InstanceId("i-1"), NodeName("n-1")};
const OwnerPlace kSecond{InstanceId("i-2"), NodeName("n-2")};

class TableWriterTest : public ::testing::Test {
 protected:
  TableWriterTest() {
    writer_.onObject(objectOf(OwnerTable::divide({kFirst, kSecond}), 10));
    writer_.tick(now_);
  }

  MetadataObject objectOf(const OwnerTable& table, StoreRevision revision) const {
    return {ownerTableName(service_), revision, table.encode()};
  }

  static TableWriter::Edit release(KeySpan keys, const OwnerPlace& owner) {
    return [keys, owner](OwnerTable& table) { return table.beginRelease(keys, owner.instance).has_value(); };
  }

  void change(TableWriter::Edit edit, TableWriter::Way way = TableWriter::Way::Any) {
    writer_.change(
        std::move(edit), [this](bool written) { ended_.push_back(written); }, way);
  }

  TableDelta deltaOf(const TableWriter::Edit& edit) const {
    OwnerTable changed = writer_.table();
    EXPECT_TRUE(edit(changed));
    return deltaBetween(writer_.table(), changed);
  }

  void letAnotherProcessWrite() {
    writer_.setEditElsewhere([this](const TableDelta& delta, StoreRevision, FenceToken, auto answer) {
      asked_.push_back({delta, answer});
      return true;
    });
  }

  /// The store makes the last write.
  void write() {
    MetadataObject object = store_.replaces.back().object;
    object.revision = ++revision_;
    const auto done = store_.replaces.back().done;
    done({StoreStatus::Done, object});
  }

  void answerEdit(TableEditStatus status, const TableRows& rows = {}) {
    const auto answer = asked_.back().answer;
    answer({status, rows});
  }

  TableRows rowsOf(const OwnerTable& table, StoreRevision revision) const {
    return {service_, revision, 0, table.lastToken(), table.ranges()};
  }

  struct Asked {
    TableDelta delta;
    std::function<void(const TableEditAnswer&)> answer;
  };

  const ServiceName service_{"s"};
  TimePoint now_{std::chrono::seconds(100)};
  StoreRevision revision_ = 10;
  ScriptedStore store_;
  TableWriter writer_{service_, store_, [] {}};
  std::vector<bool> ended_;
  std::vector<Asked> asked_;
};

TEST_F(TableWriterTest, ChangesThatWaitAreWrittenTogetherAndEachToldHowItEnded) {
  change(release({0, 10}, kFirst));
  change(release({20, 30}, kFirst));
  change(release({20, 30}, kSecond));
  change(release({60000, 60010}, kSecond));
  write();
  EXPECT_EQ(ended_, std::vector<bool>{true});
  ASSERT_EQ(store_.replaces.size(), 2U);
  write();
  EXPECT_EQ(ended_, (std::vector<bool>{true, true, false, true}));
  EXPECT_EQ(store_.replaces.size(), 2U);
  EXPECT_TRUE(writer_.table().find(25)->releasing);
  EXPECT_TRUE(writer_.table().find(60005)->releasing);
}

// Twenty owners that move keys within 0.1 s: as each knows an older table, each would write at least twice.
TEST_F(TableWriterTest, ChangesOfManyOwnersMakeOneWriteInAWhile) {
  constexpr int kOwners = 20;
  constexpr Duration kTick = milliseconds(5);
  std::vector<OwnerPlace> places;
  places.reserve(kOwners);
  for (int i = 0; i < kOwners; ++i) {
    places.push_back({InstanceId("i-" + std::to_string(i)), NodeName("n-" + std::to_string(i))});
  }
  const OwnerTable known = OwnerTable::divide(places);
  writer_.onObject(objectOf(known, ++revision_));
  const StoreRevision before = revision_;
  int made = 0;
  const auto write_if_due = [&] {
    now_ += kTick;
    writer_.tick(now_);
    if (store_.replaces.size() > revision_ - before) {
      write();
    }
  };
  for (const OwnerPlace& place : places) {
    OwnerTable changed = known;
    ASSERT_TRUE(changed.beginRelease(known.ownedBy(place.instance).front().keys, place.instance));
    writer_.changeForOther(deltaBetween(known, changed), [&made](bool written) { made += written ? 1 : 0; });
    write_if_due();
  }
  for (int i = 0; i < 10; ++i) {
    write_if_due();
  }
  EXPECT_EQ(made, kOwners);
  EXPECT_LE(store_.replaces.size(), 5U);
}

TEST_F(TableWriterTest, AnotherProcessMakesTheChangeAndTellsTheTable) {
  letAnotherProcessWrite();
  change(release({0, 10}, kFirst));
  ASSERT_EQ(asked_.size(), 1U);
  EXPECT_TRUE(store_.replaces.empty());
  OwnerTable table = OwnerTable::divide({kFirst, kSecond});
  ASSERT_TRUE(table.apply(asked_.back().delta));
  answerEdit(TableEditStatus::Made, rowsOf(table, 15));
  EXPECT_EQ(ended_, std::vector<bool>{true});
  EXPECT_EQ(writer_.revision(), 15U);
}

TEST_F(TableWriterTest, ChangeThatRestsOnMoreThanRowsIsNotLeftToOthers) {
  letAnotherProcessWrite();
  change(release({0, 10}, kFirst), TableWriter::Way::Direct);
  EXPECT_TRUE(asked_.empty());
  EXPECT_EQ(store_.replaces.size(), 1U);
}

TEST_F(TableWriterTest, ChangesForOthersAreNotPassedOn) {
  letAnotherProcessWrite();
  writer_.changeForOther(deltaOf(release({0, 10}, kFirst)), [](bool) {});
  EXPECT_TRUE(asked_.empty());
  EXPECT_EQ(store_.replaces.size(), 1U);
}

TEST_F(TableWriterTest, RefusedChangeIsWrittenDirect) {
  letAnotherProcessWrite();
  change(release({0, 10}, kFirst));
  answerEdit(TableEditStatus::Refused);
  EXPECT_EQ(store_.replaces.size(), 1U);
  write();
  EXPECT_EQ(ended_, std::vector<bool>{true});
}

// It may have been made, or may be later.
TEST_F(TableWriterTest, WithoutAnAnswerTheTableIsReadBeforeItIsWrittenDirect) {
  letAnotherProcessWrite();
  change(release({0, 10}, kFirst));
  answerEdit(TableEditStatus::Unknown);
  EXPECT_TRUE(store_.replaces.empty());
  ASSERT_EQ(store_.gets.size(), 1U);
  OwnerTable table = OwnerTable::divide({kFirst, kSecond});
  ASSERT_TRUE(table.apply(asked_.back().delta));
  const auto done = store_.gets.back().done;
  done({StoreStatus::Done, objectOf(table, 15)});
  // It stands there.
  EXPECT_TRUE(store_.replaces.empty());
  EXPECT_EQ(ended_, std::vector<bool>{false});
  EXPECT_TRUE(writer_.table().find(5)->releasing);
}

TEST_F(TableWriterTest, WhatIsNotApplicableIsWorkedOutAnewOnTheTableThatWasTold) {
  letAnotherProcessWrite();
  change(release({0, 10}, kFirst));
  OwnerTable newer = OwnerTable::divide({kFirst, kSecond});
  newer.carve({0, 99});
  answerEdit(TableEditStatus::NotApplicable, rowsOf(newer, 15));
  ASSERT_EQ(asked_.size(), 2U);
  EXPECT_EQ(asked_.back().delta.before.front().keys, (KeySpan{0, 99}));
  // The other process knows no newer table than this one: it is written direct.
  answerEdit(TableEditStatus::NotApplicable);
  now_ += milliseconds(50);
  writer_.tick(now_);
  now_ += milliseconds(50);
  writer_.tick(now_);
  EXPECT_EQ(asked_.size(), 2U);
  ASSERT_EQ(store_.gets.size(), 1U);
  const auto done = store_.gets.back().done;
  done({StoreStatus::Done, objectOf(newer, 15)});
  EXPECT_EQ(store_.replaces.size(), 1U);
}

// It knows all owners, but not whether others are about to release something: written as it is, it would undo that.
TEST_F(TableWriterTest, TableMadeOfRowsIsReadBeforeItIsWrittenDirect) {
  OwnerTable newer = OwnerTable::divide({kFirst, kSecond});
  ASSERT_TRUE(newer.assign(newer.ownedBy(kSecond.instance).front().keys, kFirst, {}));
  EXPECT_TRUE(writer_.onRows(
      {service_, 15, writer_.table().lastToken(), newer.lastToken(), newer.rowsAbove(writer_.table().lastToken())}));
  EXPECT_EQ(writer_.table(), newer);
  OwnerTable stands = newer;
  ASSERT_TRUE(stands.beginRelease({60000, 60010}, kFirst.instance));
  change(release({0, 10}, kFirst));
  EXPECT_TRUE(store_.replaces.empty());
  ASSERT_EQ(store_.gets.size(), 1U);
  const auto done = store_.gets.back().done;
  done({StoreStatus::Done, objectOf(stands, 15)});
  ASSERT_EQ(store_.replaces.size(), 1U);
  const OwnerTable written = OwnerTable::decode(store_.replaces.back().object.value).value();
  EXPECT_TRUE(written.find(60005)->releasing);
  EXPECT_TRUE(written.find(5)->releasing);
}

TEST_F(TableWriterTest, RowsBehindAGapAreNotTaken) {
  const FenceToken last = writer_.table().lastToken();
  EXPECT_FALSE(writer_.onRows({service_, 15, last + 1, last + 5, {}}));
  EXPECT_EQ(writer_.revision(), 10U);
  // Older ones are no news.
  EXPECT_TRUE(writer_.onRows({service_, 9, last + 1, last + 5, {}}));
}

TEST_F(TableWriterTest, WhoAskedIsToldTheRowsAtItsKeysAsTheyStand) {
  const FenceToken last = writer_.table().lastToken();
  TableEditFrame edit{1, 10, last, deltaOf(release({0, 10}, kFirst))};
  writer_.changeForOther(edit.delta, [](bool) {});
  write();
  const TableRows rows = writer_.rowsFor(edit);
  EXPECT_EQ(rows.revision, 11U);
  TableWriter asker(service_, store_, [] {});
  asker.onObject(objectOf(OwnerTable::divide({kFirst, kSecond}), 10));
  ASSERT_TRUE(asker.onRows(rows));
  EXPECT_TRUE(asker.table().find(5)->releasing);
}

}  // namespace
}  // namespace shedlever::test
