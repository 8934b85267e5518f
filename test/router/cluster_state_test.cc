/// @file
/// Tests that the cluster state requests newer owner tables from peers and lists the store when peers can't help.

#include "source/router/cluster_state.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "source/net/system_clock_and_random.h"
#include "test/support/manual_clock.h"
#include "test/support/scripted_server.h"
#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

class EmptyConfigProtocol final : public ConfigProtocol {
 public:
  std::string kind() const override { return "config"; }
  bool isConfigObject(const std::string&) const override { return false; }
  leaf::result<RouterConfig> decode(const ObjectsByName&) const override { return RouterConfig{}; }
};

class ClusterStateTest : public ::testing::Test {
 protected:
  ClusterStateTest() {
    cluster_state_.start();
    for (const auto& call : store_.lists) {
      call.done({true, 1, {}});
    }
    store_.lists.clear();
  }

  ClusterStateEvents events() {
    ClusterStateEvents events;
    events.on_config_adopted = events.on_nodes_changed = events.on_owners_changed = events.on_synced = [] {};
    events.on_unreadable = [this](const std::string& name) { unreadable_.push_back(name); };
    events.on_record = [](const NodeRecord&, bool) {};
    events.on_own_table = [](const MetadataObject&) {};
    events.request_owner_table = [this](const NodeName& node, StoreRevision known) {
      requests_.emplace_back(node, known);
    };
    return events;
  }

  /// @return whether the store gets a list request within 300 ms.
  bool isListedSoon() {
    const auto elapsed = std::make_shared<bool>(false);
    loop_.runAfter(milliseconds(300), [elapsed] { *elapsed = true; });
    loop_.runUntil([&] { return *elapsed || !store_.lists.empty(); }, kTestTimeout);
    return !store_.lists.empty();
  }

  static KnownRevisions withTable(StoreRevision revision) { return {{}, {}, revision, 0, 0}; }

  ObjectCopy tableAt(StoreRevision revision) const {
    const OwnerTable table = OwnerTable::divideEvenly({{InstanceId("i-1"), owner_}});
    return {ownerTableName(keyed_), revision, table.encode()};
  }

  const NodeName owner_{"owner"};
  const ServiceName keyed_{"keyed"};
  EventLoop loop_;
  ManualClock clock_;
  SystemRandom random_;
  ScriptedStore store_;
  EmptyConfigProtocol config_;
  EventLog log_{loop_, clock_, dup(STDERR_FILENO)};
  ServerDirectory directory_{NodeName("self"), ZoneName("z"), {}, random_};
  std::vector<std::pair<NodeName, StoreRevision>> requests_;
  std::vector<std::string> unreadable_;
  ClusterState cluster_state_{NodeName("self"),
                              ServiceName("own"),
                              {&loop_, &clock_, &random_, &store_, &config_, &directory_, &log_},
                              events()};
};

TEST_F(ClusterStateTest, NewerTableAtPeerIsRequestedFromPeerBeforeStore) {
  cluster_state_.onPeerRevisions(owner_, keyed_, withTable(7));
  ASSERT_EQ(requests_.size(), 1U);
  EXPECT_EQ(requests_.front(), std::make_pair(owner_, StoreRevision{0}));
  EXPECT_TRUE(store_.lists.empty());
  cluster_state_.onOwnerTable(tableAt(7));
  EXPECT_EQ(cluster_state_.ownerOf(keyed_, 5).node, owner_);
  clock_.advance(std::chrono::seconds(5));
  cluster_state_.onPeerRevisions(owner_, keyed_, withTable(7));
  EXPECT_EQ(requests_.size(), 1U);
}

TEST_F(ClusterStateTest, SeveralPeersWithNewerTableCauseOneRequestPerInterval) {
  cluster_state_.onPeerRevisions(owner_, keyed_, withTable(7));
  clock_.advance(milliseconds(100));
  cluster_state_.onPeerRevisions(NodeName("other"), keyed_, withTable(8));
  EXPECT_EQ(requests_.size(), 1U);
  cluster_state_.onOwnerTable(tableAt(7));
  clock_.advance(std::chrono::seconds(1));
  cluster_state_.onPeerRevisions(NodeName("other"), keyed_, withTable(8));
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(requests_.back(), std::make_pair(NodeName("other"), StoreRevision{7}));
}

TEST_F(ClusterStateTest, NewerTableOfOneServiceDoesNotHideMissingTableOfAnother) {
  cluster_state_.onOwnerTable(tableAt(9));
  cluster_state_.onPeerRevisions(NodeName("n"), ServiceName("second"), withTable(5));
  ASSERT_EQ(requests_.size(), 1U);
  EXPECT_EQ(requests_.back(), std::make_pair(NodeName("n"), StoreRevision{0}));
}

// Without reachable owners no reply names the next owner, so requests would be rejected until the next periodic list.
TEST_F(ClusterStateTest, TablesAreListedSoonWhileAllOwnersAreUnreachable) {
  NodeRecord record;
  record.node = owner_;
  record.service = keyed_;
  directory_.update(record);
  ASSERT_TRUE(loop_.runUntil([&] { return !store_.lists.empty(); }, kTestTimeout));
  const ObjectCopy table = tableAt(7);
  store_.lists.front().done({true, 7, {{table.name, table.revision, table.value}}});
  store_.lists.clear();
  clock_.advance(milliseconds(1200));
  cluster_state_.onPeerReachabilityChanged();
  EXPECT_FALSE(isListedSoon());
  directory_.markUnreachable(owner_);
  cluster_state_.onPeerReachabilityChanged();
  EXPECT_TRUE(isListedSoon());
}

}  // namespace
}  // namespace shedlever::test
