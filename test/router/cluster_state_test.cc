/// @file
/// Tests that the cluster state requests newer owner tables from peers and lists the store when peers can't help.

#include "source/router/cluster_state.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

#include "source/core/router/ownership/owner_table_delta.h"
#include "source/net/router_codec.h"
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
    events.request_owner_table = [this](const NodeName& node, const OwnerTableRequestFrame& request) {
      requests_.emplace_back(node, request.known);
      last_request_ = request;
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
  OwnerTableRequestFrame last_request_;
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
  cluster_state_.owners().onTable(tableAt(7));
  EXPECT_EQ(cluster_state_.owners().ownerOf(keyed_, 5).node, owner_);
  clock_.advance(std::chrono::seconds(5));
  cluster_state_.onPeerRevisions(owner_, keyed_, withTable(7));
  EXPECT_EQ(requests_.size(), 1U);
}

TEST_F(ClusterStateTest, SeveralPeersWithNewerTableCauseOneRequestPerInterval) {
  cluster_state_.onPeerRevisions(owner_, keyed_, withTable(7));
  clock_.advance(milliseconds(100));
  cluster_state_.onPeerRevisions(NodeName("other"), keyed_, withTable(8));
  EXPECT_EQ(requests_.size(), 1U);
  cluster_state_.owners().onTable(tableAt(7));
  clock_.advance(std::chrono::seconds(1));
  cluster_state_.onPeerRevisions(NodeName("other"), keyed_, withTable(8));
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(requests_.back(), std::make_pair(NodeName("other"), StoreRevision{7}));
}

TEST_F(ClusterStateTest, NewerTableOfOneServiceDoesNotHideMissingTableOfAnother) {
  cluster_state_.owners().onTable(tableAt(9));
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

/// Tests of the owner table's differences, with a table of the size of a large site's.
class TableDeltaTest : public ClusterStateTest {
 protected:
  static constexpr std::size_t kOwners = 95;
  static constexpr std::uint32_t kRangesPerOwner = 10;

  TableDeltaTest() {
    std::vector<OwnerLocation> owners;
    for (std::size_t i = 0; i < kOwners; ++i) {
      owners.push_back({InstanceId("instance-" + std::to_string(i)), NodeName("some-hall-" + std::to_string(i))});
    }
    first_table_ = OwnerTable::divideEvenly(owners, kRangesPerOwner);
    newest_table_ = first_table_;
  }

  /// Moves a part of a range to another owner in the newest table.
  void moveKeys(Key key) {
    newest_table_.beginChange(0);
    const OwnedRange range = *newest_table_.find(key);
    const auto released = newest_table_.beginRelease({key, range.keys.last}, range.owner);
    ASSERT_TRUE(released.has_value());
    newest_table_.assign(released->keys, {InstanceId("instance-0"), NodeName("some-hall-0")}, {});
  }

  static MetadataObject objectOf(const ServiceName& service, StoreRevision revision, const OwnerTable& table) {
    return {ownerTableName(service), revision, table.encode()};
  }

  /// Makes this process know the table of its own service.
  void setOwnTable(StoreRevision revision, const OwnerTable& table) {
    own_table_.onObject(objectOf(ServiceName("own"), revision, table));
    cluster_state_.owners().setOwnTable(&own_table_);
  }

  /// Makes this process know the table of the keyed service.
  void learnTable(StoreRevision revision, const OwnerTable& table) {
    cluster_state_.owners().onTable({ownerTableName(keyed_), revision, table.encode()});
  }

  /// @return the delta with which a node that knows the newest table replies to the last request.
  OwnerTableDeltaFrame deltaFor(const OwnerTableRequestFrame& request, StoreRevision revision) const {
    OwnerTableDeltaFrame delta = makeDelta(newest_table_, request.digest);
    delta.name = ownerTableName(keyed_);
    delta.base = request.known;
    delta.revision = revision;
    return delta;
  }

  /// @return whether the process names the same owners as the newest table.
  bool knowsNewestOwners() {
    const std::vector<OwnedRange>& ranges = newest_table_.ranges();
    return std::all_of(ranges.begin(), ranges.end(), [this](const OwnedRange& range) {
      return cluster_state_.owners().ownerOf(keyed_, range.keys.first).node == range.node &&
             cluster_state_.owners().ownerOf(keyed_, range.keys.last).node == range.node;
    });
  }

  OwnerTable first_table_;
  OwnerTable newest_table_;
  TableWriter own_table_{ServiceName("own"), store_, [] {}};
};

// When all processes request the table from the one that has just written it, the replies must not fill its link.
TEST_F(TableDeltaTest, RepliesAfterSomeWritesAreSmall) {
  constexpr std::size_t kAskers = 200;
  constexpr std::size_t kWrites = 10;
  constexpr std::size_t kMaxBytes = 1'000'000;
  for (std::size_t i = 0; i < kWrites; ++i) {
    moveKeys(static_cast<Key>(6000 * i + 7));
  }
  setOwnTable(20, newest_table_);
  const OwnerTableRequestFrame request{StoreRevision{10}, digestOf(first_table_)};
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < kAskers; ++i) {
    const auto reply = cluster_state_.owners().answerRequest(request);
    ASSERT_TRUE(reply.has_value());
    EXPECT_TRUE(std::holds_alternative<OwnerTableDeltaFrame>(*reply));
    bytes += encodeRouterFrame(*reply).size();
  }
  const auto whole = cluster_state_.owners().answerRequest({});
  const std::size_t whole_bytes = encodeRouterFrame(*whole).size();
  RecordProperty("delta_bytes", std::to_string(bytes / kAskers));
  RecordProperty("table_bytes", std::to_string(whole_bytes));
  RecordProperty("request_bytes", std::to_string(encodeRouterFrame(request).size()));
  EXPECT_LT(bytes, kMaxBytes);
  EXPECT_LT(bytes, kAskers * whole_bytes / 5);
}

TEST_F(TableDeltaTest, ProcessWithoutTableGetsTheWholeTable) {
  setOwnTable(20, newest_table_);
  const auto reply = cluster_state_.owners().answerRequest({});
  ASSERT_TRUE(reply.has_value());
  const auto* whole = std::get_if<OwnerTableFrame>(&*reply);
  ASSERT_NE(whole, nullptr);
  EXPECT_EQ(whole->table.revision, StoreRevision{20});
  EXPECT_EQ(whole->table.value, newest_table_.encode());
}

TEST_F(TableDeltaTest, ProcessWithTheNewestTableGetsNoReply) {
  setOwnTable(20, newest_table_);
  EXPECT_FALSE(cluster_state_.owners().answerRequest({StoreRevision{20}, digestOf(newest_table_)}).has_value());
  EXPECT_FALSE(cluster_state_.owners().answerRequest({StoreRevision{21}, digestOf(newest_table_)}).has_value());
}

TEST_F(TableDeltaTest, DeltaOfTheRequestedTableIsAdopted) {
  learnTable(10, first_table_);
  moveKeys(300);
  cluster_state_.onPeerRevisions(owner_, keyed_, withTable(11));
  ASSERT_EQ(requests_.size(), 1U);
  EXPECT_EQ(last_request_.known, StoreRevision{10});
  EXPECT_FALSE(knowsNewestOwners());
  cluster_state_.owners().onDelta(owner_, deltaFor(last_request_, 11));
  EXPECT_TRUE(knowsNewestOwners());
  EXPECT_EQ(requests_.size(), 1U);
  clock_.advance(std::chrono::seconds(5));
  cluster_state_.onPeerRevisions(owner_, keyed_, withTable(11));
  EXPECT_EQ(requests_.size(), 1U) << "revision 11 is known";
}

// Snapshots for other processes contain the table as if it had been read from the store.
TEST_F(TableDeltaTest, AdoptedTableIsStoredAsItsSenderEncodesIt) {
  const ServiceName own("own");
  cluster_state_.owners().onTable({ownerTableName(own), 10, first_table_.encode()});
  setOwnTable(10, first_table_);
  moveKeys(300);
  OwnerTableDeltaFrame delta = makeDelta(newest_table_, digestOf(first_table_));
  delta.name = ownerTableName(own);
  delta.base = 10;
  delta.revision = 11;
  cluster_state_.owners().onDelta(owner_, delta);
  ASSERT_NE(cluster_state_.owners().ownTableObject(), nullptr);
  EXPECT_EQ(cluster_state_.owners().ownTableObject()->revision, StoreRevision{11});
  EXPECT_EQ(cluster_state_.owners().ownTableObject()->value, newest_table_.encode());
}

TEST_F(TableDeltaTest, WholeTableIsRequestedWhenTheDeltaDoesNotFit) {
  learnTable(10, first_table_);
  cluster_state_.onPeerRevisions(owner_, keyed_, withTable(11));
  moveKeys(300);
  OwnerTableDeltaFrame incomplete = deltaFor(last_request_, 11);
  incomplete.ranges.clear();
  cluster_state_.owners().onDelta(owner_, incomplete);
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(requests_.back(), std::make_pair(owner_, StoreRevision{10}));
  EXPECT_TRUE(last_request_.digest.empty());
  EXPECT_EQ(cluster_state_.owners().ownerOf(keyed_, 300).node, first_table_.find(300)->node);
}

TEST_F(TableDeltaTest, AnotherDeltaIsRequestedWhenTheTableHasChangedMeanwhile) {
  learnTable(10, first_table_);
  cluster_state_.onPeerRevisions(owner_, keyed_, withTable(12));
  const OwnerTableRequestFrame first_request = last_request_;
  moveKeys(300);
  learnTable(11, newest_table_);
  const OwnerTable known = newest_table_;
  moveKeys(60000);
  OwnerTableDeltaFrame unfit = deltaFor(first_request, 12);
  unfit.ranges.clear();
  cluster_state_.owners().onDelta(owner_, unfit);
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(requests_.back(), std::make_pair(owner_, StoreRevision{11}));
  EXPECT_EQ(last_request_.digest, digestOf(known));
  cluster_state_.owners().onDelta(owner_, deltaFor(last_request_, 12));
  EXPECT_TRUE(knowsNewestOwners());
}

// After a write the new owners of keys get the difference from the table before, which they may not have.
TEST_F(TableDeltaTest, DeltaFromAnUnknownTableIsFollowedByARequest) {
  moveKeys(300);
  const OwnerTable before = newest_table_;
  moveKeys(60000);
  const OwnerTableDeltaFrame delta = deltaFor({StoreRevision{11}, digestOf(before)}, 12);
  cluster_state_.owners().onDelta(owner_, delta);
  ASSERT_EQ(requests_.size(), 1U);
  EXPECT_TRUE(last_request_.known.none());
  EXPECT_TRUE(last_request_.digest.empty());
  learnTable(10, first_table_);
  cluster_state_.owners().onDelta(owner_, delta);
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(last_request_.digest, digestOf(first_table_));
  EXPECT_EQ(cluster_state_.owners().ownerOf(keyed_, 300).node, first_table_.find(300)->node);
}

TEST_F(TableDeltaTest, StoreIsListedWhenARequestAfterADeltaGetsNoReply) {
  moveKeys(300);
  cluster_state_.owners().onDelta(owner_, deltaFor({StoreRevision{11}, digestOf(first_table_)}, 12));
  clock_.advance(milliseconds(1200));
  EXPECT_TRUE(loop_.runUntil([&] { return !store_.lists.empty(); }, kTestTimeout));
}

TEST_F(TableDeltaTest, LateDeltaOfAnEarlierTableIsIgnored) {
  learnTable(10, first_table_);
  cluster_state_.onPeerRevisions(owner_, keyed_, withTable(11));
  const OwnerTableDeltaFrame late = deltaFor(last_request_, 11);
  moveKeys(300);
  learnTable(12, newest_table_);
  cluster_state_.owners().onDelta(owner_, late);
  EXPECT_TRUE(knowsNewestOwners());
  EXPECT_EQ(requests_.size(), 1U);
}

// Revisions of a later epoch are newer also when their count is lower.
TEST_F(TableDeltaTest, DeltaAcrossARestoreOfTheStoreIsAdopted) {
  learnTable({1, 50}, first_table_);
  newest_table_.beginChange(2);
  moveKeys(300);
  cluster_state_.onPeerRevisions(owner_, keyed_, withTable({2, 7}));
  ASSERT_EQ(requests_.size(), 1U);
  cluster_state_.owners().onDelta(owner_, deltaFor(last_request_, {2, 7}));
  EXPECT_TRUE(knowsNewestOwners());
}

}  // namespace
}  // namespace shedlever::test
