/// @file
/// Tests the cluster state while the store is restored from a backup of an earlier state.

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>

#include "source/net/system_clock_and_random.h"
#include "source/router/cluster_state.h"
#include "test/support/manual_clock.h"
#include "test/support/scripted_server.h"
#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

constexpr const char* kConfigKind = "config";
constexpr const char* kZoneKind = "zones";

/// Configuration of one object whose value is the version.
class VersionOnlyProtocol final : public ConfigProtocol {
 public:
  std::string kind() const override { return kConfigKind; }
  bool isConfigObject(const std::string&) const override { return true; }
  std::string evacuationKind() const override { return kZoneKind; }
  bool hasOperatorVersions() const override { return counted_by_operators; }
  leaf::result<RouterConfig> decode(const ObjectsByName& parts) const override {
    RouterConfig config;
    config.version = std::stoull(parts.begin()->second.value);
    return config;
  }

  bool counted_by_operators = true;
};

class RestoredClusterStateTest : public ::testing::Test {
 protected:
  RestoredClusterStateTest() {
    store_.current_epoch = 1;
    cluster_state_.start();
  }

  ClusterStateEvents events() {
    ClusterStateEvents events;
    events.on_config_adopted = events.on_nodes_changed = events.on_owners_changed = events.on_synced =
        events.on_evacuations_changed = [] {};
    events.on_unreadable = [](const std::string&) {};
    events.on_record = [](const NodeRecord&, bool) {};
    events.on_own_table = [](const MetadataObject&) {};
    events.on_node_records_restored = [this](const NodeRecord* own) {
      restored_.push_back(own == nullptr ? "none" : own->instance.value);
    };
    return events;
  }

  /// Responds to all pending lists of the kind.
  void answerLists(const std::string& kind, const StoreRevision& at, const std::vector<MetadataObject>& objects) {
    std::erase_if(store_.lists, [&](const auto& call) {
      if (call.kind == kind) {
        call.done({true, at, objects, at.epoch});
      }
      return call.kind == kind;
    });
  }

  /// Restores the store and waits until the kind is listed again.
  void restore(StoreEpoch epoch, const std::string& kind) {
    store_.current_epoch = epoch;
    cluster_state_.onStoreRestored();
    const auto is_requested = [&] {
      return std::any_of(store_.lists.begin(), store_.lists.end(), [&](const auto& call) { return call.kind == kind; });
    };
    ASSERT_TRUE(loop_.runUntil(is_requested, kTestTimeout));
  }

  static MetadataObject configAt(const StoreRevision& revision, int version) {
    return {"main", revision, std::to_string(version)};
  }

  MetadataObject recordAt(const StoreRevision& revision, std::uint64_t incarnation, const std::string& instance,
                          const std::string& node = "self") const {
    NodeRecord record;
    record.node = NodeName(node);
    record.incarnation.value = incarnation;
    record.peer = {"127.0.0.1", 1};
    record.zone = ZoneName("z");
    record.service = ServiceName("own");
    record.instance = InstanceId(instance);
    return {nodeRecordName(record.node), revision, encodeNodeRecord(record)};
  }

  ConfigVersion version() const { return cluster_state_.routes() ? cluster_state_.routes()->version() : 0; }

  EventLoop loop_;
  ManualClock clock_;
  SystemRandom random_;
  ScriptedStore store_;
  VersionOnlyProtocol config_;
  EventLog log_{loop_, clock_, dup(STDERR_FILENO)};
  ServerDirectory directory_{NodeName("self"), ZoneName("z"), {}, random_};
  std::vector<std::string> restored_;
  ClusterState cluster_state_{NodeName("self"),
                              ServiceName("own"),
                              {&loop_, &clock_, &random_, &store_, &config_, &directory_, &log_, true},
                              events()};
};

TEST_F(RestoredClusterStateTest, NewestVersionStaysActiveUntilOperatorsWriteItAgain) {
  answerLists(kConfigKind, {1, 113}, {configAt({1, 113}, 48)});
  restore(2, kConfigKind);
  answerLists(kConfigKind, {2, 90}, {configAt({2, 85}, 40)});
  EXPECT_EQ(version(), 48U);
  ASSERT_FALSE(store_.watches.empty());
  store_.watches.back().done({WatchStatus::Events, {2, 91}, {{false, configAt({2, 91}, 48)}}, 2});
  EXPECT_EQ(version(), 48U);
  ASSERT_TRUE(
      loop_.runUntil([&] { return store_.watches.back().object.revision == StoreRevision(2, 91); }, kTestTimeout));
  store_.watches.back().done({WatchStatus::Events, {2, 92}, {{false, configAt({2, 92}, 51)}}, 2});
  EXPECT_EQ(version(), 51U);
}

TEST_F(RestoredClusterStateTest, NewerVersionWithLowerRevisionIsAdopted) {
  answerLists(kConfigKind, {1, 113}, {configAt({1, 113}, 48)});
  restore(2, kConfigKind);
  answerLists(kConfigKind, {2, 98}, {configAt({2, 97}, 51)});
  EXPECT_EQ(version(), 51U);
}

// If the store counts the versions, operators do not write the newest one again, so the restored one is adopted.
TEST_F(RestoredClusterStateTest, VersionCountedByStoreReturnsToBackup) {
  config_.counted_by_operators = false;
  answerLists(kConfigKind, {1, 113}, {configAt({1, 113}, 113)});
  restore(2, kConfigKind);
  answerLists(kConfigKind, {2, 90}, {configAt({2, 85}, 85)});
  EXPECT_EQ(version(), 85U);
}

TEST_F(RestoredClusterStateTest, SnapshotContainsActiveConfigurationInsteadOfBackups) {
  answerLists(kConfigKind, {1, 113}, {configAt({1, 113}, 48)});
  answerLists(kNodeKind, {1, 113}, {});
  answerLists(kTableKind, {1, 113}, {});
  answerLists(kZoneKind, {1, 113}, {});
  restore(2, kConfigKind);
  answerLists(kConfigKind, {2, 90}, {configAt({2, 85}, 40)});
  const auto snapshot = cluster_state_.snapshotFor(NodeName("other"));
  ASSERT_TRUE(snapshot);
  ASSERT_EQ(snapshot->config.size(), 1U);
  EXPECT_EQ(snapshot->config.front().value, "48");
}

TEST_F(RestoredClusterStateTest, ReportsThisNodesRecordInBackup) {
  answerLists(kNodeKind, {1, 50}, {recordAt({1, 50}, 7, "i-new")});
  EXPECT_TRUE(restored_.empty());
  restore(2, kNodeKind);
  answerLists(kNodeKind, {2, 40}, {recordAt({2, 40}, 7, "i-old")});
  restore(3, kNodeKind);
  answerLists(kNodeKind, {3, 20}, {});
  EXPECT_EQ(restored_, (std::vector<std::string>{"i-old", "none"}));
}

TEST_F(RestoredClusterStateTest, RecordOfEarlierIncarnationInBackupIsIgnored) {
  answerLists(kNodeKind, {1, 50}, {recordAt({1, 50}, 9, "i-new", "other")});
  restore(2, kNodeKind);
  answerLists(kNodeKind, {2, 40}, {recordAt({2, 40}, 7, "i-old", "other")});
  ASSERT_NE(directory_.node(NodeName("other")), nullptr);
  EXPECT_EQ(directory_.node(NodeName("other"))->instance, InstanceId("i-new"));
}

TEST_F(RestoredClusterStateTest, ZoneStaysEvacuatedIfBackupLacksTheEvacuation) {
  answerLists(kZoneKind, {1, 50}, {{"east", {1, 50}, "{}"}});
  ASSERT_TRUE(cluster_state_.evacuations().contains(ZoneName("east")));
  restore(2, kZoneKind);
  answerLists(kZoneKind, {2, 40}, {});
  EXPECT_TRUE(cluster_state_.evacuations().contains(ZoneName("east")));
}

}  // namespace
}  // namespace shedlever::test
