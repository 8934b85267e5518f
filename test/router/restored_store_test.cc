/// @file
/// End-to-end tests of configuration changes after the store is restored from a backup of an earlier state.
///
/// A restored store assigns lower revisions again. Processes that compare revisions without the epoch would take new
/// configurations for older than the known one.

#include <gtest/gtest.h>

#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// Three times the time in which a change must be active everywhere.
constexpr Duration kActiveWithin = seconds(6);

class RestoredStoreTest : public ::testing::Test {
 protected:
  void SetUp() override {
    cluster_.addNode("orders");
    cluster_.addNode("orders");
    cluster_.addNode("search");
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  bool allNodesRespond(const std::string& target, int status) {
    return cluster_.allNodesRespond(target, status, kActiveWithin);
  }

  /// Writes enough versions to raise the store's revision far above that of the backup.
  void writeManyVersions() {
    for (std::uint32_t version = 2; version < kLastVersionBeforeRestore; ++version) {
      cluster_.writeConfig(version, {"/search/", "/orders/"});
    }
    cluster_.writeConfig(kLastVersionBeforeRestore, {"/search/", "/orders/", "/more/"});
  }

  static constexpr std::uint32_t kLastVersionBeforeRestore = 40;
  RouterCluster cluster_;
};

TEST_F(RestoredStoreTest, ChangeAfterRestoreIsActiveDespiteLowerRevision) {
  cluster_.backUpStore();
  writeManyVersions();
  ASSERT_TRUE(allNodesRespond("/more/x", kOk));
  cluster_.restoreStore();
  cluster_.writeConfig(kLastVersionBeforeRestore, {"/search/", "/orders/", "/more/"});
  cluster_.writeConfig(kLastVersionBeforeRestore + 1, {"/search/", "/orders/"});
  EXPECT_TRUE(allNodesRespond("/more/x", kNotFound));
}

// The backup contains an older configuration than the active one until operators write theirs again.
TEST_F(RestoredStoreTest, ConfigurationDoesNotReturnToBackup) {
  cluster_.backUpStore();
  writeManyVersions();
  ASSERT_TRUE(allNodesRespond("/more/x", kOk));
  cluster_.restoreStore();
  const auto elapsed = cluster_.timerFlag(seconds(3));
  while (!*elapsed) {
    for (const auto& node : cluster_.nodes()) {
      ASSERT_EQ(cluster_.sendAndWait(*node, "/more/x").response.status, kOk);
    }
    cluster_.runFor(milliseconds(20));
  }
}

// The started process reads the backup and learns of the newer configuration from its peers' replies.
TEST_F(RestoredStoreTest, ProcessStartedAfterRestoreTakesNewestConfigurationFromPeers) {
  cluster_.backUpStore();
  writeManyVersions();
  ASSERT_TRUE(allNodesRespond("/more/x", kOk));
  cluster_.restoreStore();
  RouterCluster::Node& started = *cluster_.nodes().front();
  cluster_.restartRouter(started);
  const auto elapsed = cluster_.timerFlag(kActiveWithin);
  while (cluster_.sendAndWait(started, "/more/x").response.status != kOk && !*elapsed) {
    cluster_.sendAndWait(started, "/search/x", "20000");
    cluster_.runFor(milliseconds(20));
  }
  EXPECT_FALSE(*elapsed);
}

// Open watches break with the store; the restored store's revision has passed the old one before they are sent again.
TEST_F(RestoredStoreTest, ChangeWithReusedRevisionIsNotMissed) {
  cluster_.backUpStore();
  writeManyVersions();
  ASSERT_TRUE(allNodesRespond("/more/x", kOk));
  cluster_.setStoreMode("reset");
  cluster_.runFor(milliseconds(300));
  cluster_.setStoreMode("up");
  cluster_.restoreStore();
  cluster_.writeConfig(kLastVersionBeforeRestore + 1, {"/search/", "/orders/"});
  for (std::uint32_t version = kLastVersionBeforeRestore + 2; version < 3 * kLastVersionBeforeRestore; ++version) {
    cluster_.writeConfig(version, {"/search/", "/orders/"});
  }
  EXPECT_TRUE(allNodesRespond("/more/x", kNotFound));
}

}  // namespace
}  // namespace shedlever::test
