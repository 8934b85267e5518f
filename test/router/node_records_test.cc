/// @file
/// Tests of the node record's encoding and of publishing this node's record.

#include "source/router/node_records.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "source/net/system_clock_and_random.h"
#include "test/support/scripted_server.h"
#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

TEST(NodeRecordTest, DecodedRecordEqualsEncodedRecord) {
  NodeRecord record;
  record.node = NodeName("n");
  record.incarnation = Incarnation{77};
  record.peer = {"10.0.0.1", 99};
  record.zone = ZoneName("z");
  record.service = ServiceName("s");
  record.slots = 18;
  EXPECT_EQ(decodeNodeRecord(encodeNodeRecord(record)), record);
  record.instance = InstanceId("i-1");
  record.draining = true;
  EXPECT_EQ(decodeNodeRecord(encodeNodeRecord(record)), record);
  record.leaving_instances = {InstanceId("i-0/1700"), InstanceId("i-1")};
  EXPECT_EQ(decodeNodeRecord(encodeNodeRecord(record)), record);
  record.quarantined = {{{0xffffffffffffffff, 2}, 1'800'000'000}};
  EXPECT_EQ(decodeNodeRecord(encodeNodeRecord(record)), record);
  for (const char* text : {"", "[]", "{}", R"({"node":"n"})"}) {
    EXPECT_FALSE(decodeNodeRecord(text)) << text;
  }
}

TEST(NodeRecordTest, MalformedRecordIsRejected) {
  const std::string start = R"({"node":"n","incarnation":7,"peer":"10.0.0.1:99","zone":"z","service":"s")";
  ASSERT_TRUE(decodeNodeRecord(start + R"(,"slots":18})"));
  for (const char* rest :
       {"}", R"(,"slots":-1})", R"(,"slots":0.5})", R"(,"slots":1e18})", R"(,"slots":"18"})",
        R"(,"slots":18,"peer":7})", R"(,"slots":18,"node":null})", R"(,"slots":18,"incarnation":-7})",
        R"(,"slots":18,"leaving":"i-1"})", R"(,"slots":18,"leaving":[7]})", R"(,"slots":18,"leaving":[""]})",
        R"(,"slots":18,"quarantined":[7]})", R"(,"slots":18,"quarantined":[[1,2,"x"]]})"}) {
    EXPECT_FALSE(decodeNodeRecord(start + rest)) << rest;
  }
}

TEST(NodeRecordTest, RecordOfAnEarlierBuildStatesNoLeavingInstances) {
  const std::string of_earlier_build =
      R"({"draining":true,"incarnation":7,"instance":"i-1","node":"n","peer":"10.0.0.1:99","service":"s","slots":18,)"
      R"("wire":8,"zone":"z"})";
  const auto record = decodeNodeRecord(of_earlier_build);
  ASSERT_TRUE(record);
  EXPECT_TRUE(record->leaving_instances.empty());
  EXPECT_EQ(encodeNodeRecord(*record), of_earlier_build);
}

// Earlier builds state no version of frames; a version that does not fit counts as the highest one.
TEST(NodeRecordTest, RecordOfAnEarlierBuildStatesNoWireVersion) {
  const std::string of_earlier_build =
      R"({"incarnation":7,"instance":"i-1","node":"n","peer":"10.0.0.1:99","service":"s","slots":18,"zone":"z")";
  EXPECT_EQ(decodeNodeRecord(of_earlier_build + "}")->wire_version, 0);
  EXPECT_EQ(decodeNodeRecord(of_earlier_build + R"(,"wire":7})")->wire_version, 7);
  EXPECT_EQ(decodeNodeRecord(of_earlier_build + R"(,"wire":900})")->wire_version, 255);
  NodeRecord record = *decodeNodeRecord(of_earlier_build + "}");
  EXPECT_EQ(encodeNodeRecord(record), of_earlier_build + "}");
  record.wire_version = kNewestWireVersion;
  EXPECT_EQ(decodeNodeRecord(encodeNodeRecord(record)), record);
}

class NodeRecordPublisherTest : public ::testing::Test {
 protected:
  NodeRecordPublisherTest()
      : log_(loop_, clock_, dup(STDERR_FILENO)),
        publisher_(loop_, store_, log_,
                   {[this] { ++absences_; }, [this](const std::optional<NodeRecord>& record) { previous_ = record; },
                    [this] { ++writes_; }}) {
    record_.node = NodeName("n");
    record_.peer = {"10.0.0.1", 99};
    record_.incarnation = Incarnation{7};
  }

  EventLoop loop_;
  BootTimeClock clock_;
  ScriptedStore store_;
  EventLog log_;
  std::optional<NodeRecord> previous_;
  /// Number of reports that a record was written.
  int writes_ = 0;
  /// Number of reports that there was no earlier record.
  int absences_ = 0;
  NodeRecordPublisher publisher_;
  NodeRecord record_;
};

TEST_F(NodeRecordPublisherTest, WritesOnlyChanges) {
  publisher_.publish(record_);
  ASSERT_EQ(store_.creates.size(), 1U);
  store_.creates.back().done({StoreStatus::Done, {"node-n", 3, "{}"}});
  publisher_.publish(record_);
  EXPECT_TRUE(store_.replaces.empty());
  record_.draining = true;
  publisher_.publish(record_);
  EXPECT_EQ(store_.replaces.size(), 1U);
}

TEST_F(NodeRecordPublisherTest, OverwritesRecordOfEarlierIncarnation) {
  publisher_.publish(record_);
  store_.creates.back().done({StoreStatus::Conflict, {"node-n", 3, "{}"}});
  ASSERT_EQ(store_.replaces.size(), 1U);
  EXPECT_EQ(store_.replaces.back().object.revision, 0U);
}

// The quarantine of the earlier incarnation would be lost without the report.
TEST_F(NodeRecordPublisherTest, ReportsRecordOfEarlierIncarnationBeforeOverwriting) {
  publisher_.publish(record_);
  NodeRecord previous = record_;
  previous.incarnation = Incarnation{6};
  previous.quarantined = {{{1, 2}, 1'800'000'000}};
  store_.creates.back().done({StoreStatus::Conflict, {"node-n", 3, encodeNodeRecord(previous)}});
  EXPECT_EQ(previous_, previous);
  EXPECT_EQ(store_.replaces.size(), 1U);
}

TEST_F(NodeRecordPublisherTest, ReportsThatThereWasNoEarlierRecord) {
  publisher_.publish(record_);
  EXPECT_EQ(absences_, 0);
  store_.creates.back().done({StoreStatus::Done, {"node-n", 3, "{}"}});
  EXPECT_EQ(absences_, 1);
}

TEST_F(NodeRecordPublisherTest, TellsWhichRecordTheStoreHasAcknowledged) {
  publisher_.publish(record_);
  EXPECT_FALSE(publisher_.written());
  store_.creates.back().done({StoreStatus::Done, {"node-n", 3, "{}"}});
  EXPECT_EQ(publisher_.written(), record_);
  EXPECT_EQ(writes_, 1);
  NodeRecord changed = record_;
  changed.leaving_instances = {InstanceId("i-1")};
  publisher_.publish(changed);
  EXPECT_EQ(publisher_.written(), record_);
  store_.replaces.back().done({StoreStatus::Done, {"node-n", 4, "{}"}});
  EXPECT_EQ(publisher_.written(), changed);
}

// Guards against a process that takes its own record, whose creation got no response, for that of an earlier process.
TEST_F(NodeRecordPublisherTest, OwnRecordIsNotThatOfAnEarlierIncarnation) {
  publisher_.publish(record_);
  store_.creates.back().done({StoreStatus::Unknown, {}});
  ASSERT_TRUE(loop_.runUntil([&] { return store_.creates.size() == 2; }, kTestTimeout));
  store_.creates.back().done({StoreStatus::Conflict, {"node-n", 3, encodeNodeRecord(record_)}});
  EXPECT_FALSE(previous_);
  EXPECT_EQ(absences_, 1);
}

TEST_F(NodeRecordPublisherTest, RetryAfterUnknownResultWritesNewestRecord) {
  publisher_.publish(record_);
  record_.slots = 5;
  publisher_.publish(record_);
  store_.creates.back().done({StoreStatus::Unknown, {}});
  ASSERT_TRUE(loop_.runUntil([&] { return store_.creates.size() == 2; }, kTestTimeout));
  EXPECT_EQ(decodeNodeRecord(store_.creates.back().object.value)->slots, 5U);
}

}  // namespace
}  // namespace shedlever::test
