/// @file
/// Tests which owner tables are kept, and what is told of them.

#include "source/router/owner_tables.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "source/net/system_clock_and_random.h"
#include "test/support/manual_clock.h"
#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

class OwnerTablesTest : public ::testing::Test {
 protected:
  OwnerTablesEvents events() {
    OwnerTablesEvents events;
    events.routes = [] { return nullptr; };
    events.on_owners_changed = [this] { ++owner_changes_; };
    events.on_own_table = [this](const MetadataObject& table) { own_tables_.push_back(table.revision); };
    events.on_listed = [this] { ++lists_; };
    events.on_epoch_observed = [](StoreEpoch) {};
    events.request_owner_table = [this](const NodeName& node, const OwnerTableRequestFrame&) {
      asked_nodes_.push_back(node);
    };
    return events;
  }

  static MetadataObject tableAt(const char* service, StoreRevision revision, const char* owner) {
    const OwnerTable table = OwnerTable::divideEvenly({{InstanceId("i"), NodeName(owner)}});
    return {ownerTableName(ServiceName(service)), revision, table.encode()};
  }

  const ServiceName other_{"other"};
  EventLoop loop_;
  ManualClock clock_;
  SystemRandom random_;
  ScriptedStore store_;
  EventLog log_{loop_, clock_, dup(STDERR_FILENO)};
  ServerDirectory directory_{NodeName("self"), ZoneName("z"), {}, random_};
  int owner_changes_ = 0;
  int lists_ = 0;
  std::vector<StoreRevision> own_tables_;
  std::vector<NodeName> asked_nodes_;
  OwnerTables owners_{ServiceName("own"), {&loop_, &clock_, &store_, &directory_, &log_}, events()};
};

TEST_F(OwnerTablesTest, TableOfAnEarlierRevisionDoesNotReplaceTheKnownOne) {
  owners_.onStoredTable(tableAt("other", 7, "new"));
  owners_.onStoredTable(tableAt("other", 6, "old"));
  EXPECT_EQ(owners_.ownerOf(other_, 5).node, NodeName("new"));
  EXPECT_EQ(owner_changes_, 1);
}

TEST_F(OwnerTablesTest, OwnServicesTableIsPassedOnAndOfferedInSnapshots) {
  owners_.onStoredTable(tableAt("own", 7, "self"));
  owners_.onStoredTable(tableAt("other", 8, "n"));
  EXPECT_EQ(own_tables_, std::vector<StoreRevision>{7});
  EXPECT_EQ(owners_.ownTableObject()->revision, StoreRevision{7});
  EXPECT_EQ(owners_.copies().size(), 2U);
}

TEST_F(OwnerTablesTest, ObjectsThatAreNoTablesAreIgnored) {
  owners_.onStoredTable({"node-a", 7, "{}"});
  EXPECT_TRUE(owners_.copies().empty());
  EXPECT_EQ(owner_changes_, 0);
}

TEST_F(OwnerTablesTest, OnlyANewerRevisionAtAPeerCausesARequest) {
  owners_.onStoredTable(tableAt("other", 7, "n"));
  owners_.onPeerRevision(NodeName("n"), other_, 7);
  EXPECT_TRUE(asked_nodes_.empty());
  owners_.onPeerRevision(NodeName("n"), other_, 8);
  EXPECT_EQ(asked_nodes_, std::vector<NodeName>{NodeName("n")});
}

// A process that knows tables from peers alone must not treat them as read from the store.
TEST_F(OwnerTablesTest, TablesAreReadOnlyOnceTheStoreHasListedThem) {
  owners_.start();
  owners_.onStoredTable(tableAt("own", 7, "self"));
  EXPECT_FALSE(owners_.isRead());
  ASSERT_EQ(store_.lists.size(), 1U);
  store_.lists.front().done({true, 1, {}});
  EXPECT_TRUE(owners_.isRead());
  EXPECT_EQ(lists_, 1);
}

}  // namespace
}  // namespace shedlever::test
