/// @file
/// Ownership with grants by heartbeat under faults: one owner per key, increasing tokens, and recovery of all keys.

#include <gtest/gtest.h>

#include "test/support/ownership_expectations.h"

namespace shedlever::sim::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261202;
constexpr std::size_t kNodes = 4;
/// Long enough for the takeover of an unreachable owner's keys.
constexpr Duration kTakeoverTime = seconds(16);

OwnershipConfig heartbeatConfig() {
  OwnershipConfig config;
  config.grant_delivery = GrantDelivery::Heartbeat;
  return config;
}

class HeartbeatOwnershipTest : public ::testing::Test {
 protected:
  void SetUp() override {
    world_.run(seconds(5));
    ASSERT_EQ(world_.servedKeys(), world_.sampledKeys());
  }
  void TearDown() override { expectNoViolations(world_); }

  void expectAllServed() { EXPECT_EQ(world_.servedKeys(), world_.sampledKeys()); }
  void expectHasItsKeys(std::size_t node) { EXPECT_EQ(world_.servedBy(node), world_.sampledKeys() / kNodes); }
  void setServerFaults(const ServerFaults& faults) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      world_.setServerFaults(node, faults);
    }
  }
  void setStoreFaults(const StoreFaults& faults) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      world_.setStoreFaults(node, faults);
    }
  }

  SimulatedCluster world_{kNodes, kSeed, heartbeatConfig()};
};

TEST_F(HeartbeatOwnershipTest, InitialTableDividesKeysEvenly) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    expectHasItsKeys(node);
  }
}

TEST_F(HeartbeatOwnershipTest, LeavingServersKeysMoveToOthers) {
  world_.drainServer(1);
  world_.run(milliseconds(1800));
  EXPECT_EQ(world_.servedBy(1), 0U);
  expectAllServed();
}

TEST_F(HeartbeatOwnershipTest, DeadServersKeysAreServedAgain) {
  world_.killServer(1);
  world_.startServer(1);
  world_.run(seconds(2));
  expectAllServed();
}

TEST_F(HeartbeatOwnershipTest, KeysOfAServerWithoutHeartbeatsMoveAfterTheGrantsLapse) {
  world_.silenceServer(1, true);
  world_.run(seconds(8));
  EXPECT_EQ(world_.servedBy(1), 0U);
  expectAllServed();
}

TEST_F(HeartbeatOwnershipTest, RestartedProcessKeepsItsKeys) {
  world_.killNode(2);
  world_.run(seconds(1));
  world_.restartNode(2);
  world_.run(milliseconds(1500));
  expectHasItsKeys(2);
  expectAllServed();
}

TEST_F(HeartbeatOwnershipTest, RestartedProcessKeepsHeldKeysWhileTheStoreIsDown) {
  setStoreFaults({true, 0, 0});
  world_.run(milliseconds(500));
  world_.killNode(2);
  world_.run(milliseconds(600));
  world_.restartNodeWithLease(2);
  world_.run(milliseconds(1500));
  expectHasItsKeys(2);
  world_.run(seconds(12));
  EXPECT_EQ(world_.servedKeys(), 0U) << "all leases have expired";
}

// A restarted process must not reclaim keys that it moved away, when it gets an older table and its remaining lease
// from others.
TEST_F(HeartbeatOwnershipTest, RestartedProcessDoesNotReclaimMovedKeysFromAnOldTable) {
  const MetadataObject before = world_.table();
  world_.drainServer(1);
  world_.run(seconds(2));
  ASSERT_EQ(world_.servedBy(1), 0U);
  setStoreFaults({true, 0, 0});
  world_.killNode(1);
  world_.run(milliseconds(500));
  world_.restartNodeWithPeerTable(1, before);
  world_.run(seconds(3));
  EXPECT_EQ(world_.servedBy(1), 0U);
  expectAllServed();
}

// As above, but the table shows some of the keys as owned by another server.
TEST_F(HeartbeatOwnershipTest, RestartedProcessDoesNotResumeKeysOwnedByOthers) {
  setStoreFaults({true, 0, 0});
  MetadataObject table = world_.table();
  OwnerTable changed =
      leaf::try_handle_all([&] { return OwnerTable::decode(table.value); }, [] { return OwnerTable(); });
  const OwnedRange own = changed.ownedAt(NodeName("node-1")).front();
  changed.assign(own.keys, {InstanceId("i-elsewhere"), NodeName("node-9")}, {});
  table.value = changed.encode();
  ++table.revision.count;
  world_.killNode(1);
  world_.restartNodeWithPeerTable(1, table);
  world_.run(milliseconds(1500));
  EXPECT_LT(world_.servedBy(1), world_.sampledKeys() / kNodes);
  EXPECT_GT(world_.servedBy(1), 0U);
}

TEST_F(HeartbeatOwnershipTest, UnreachableNodesKeysAreTakenOver) {
  world_.killNode(3);
  world_.run(kTakeoverTime);
  expectAllServed();
}

TEST_F(HeartbeatOwnershipTest, PausedNodesKeysAreTakenOver) {
  world_.pauseNode(0);
  world_.run(kTakeoverTime);
  expectAllServed();
  world_.resumeNode(0);
  world_.run(seconds(5));
  expectAllServed();
}

TEST_F(HeartbeatOwnershipTest, DelayedAndRepeatedHeartbeatsRestoreNoOldState) {
  setServerFaults({false, 0.3, 0, 0.5});
  for (const std::size_t node : {1U, 2U}) {
    world_.drainServer(node);
    world_.run(seconds(6));
    world_.startServer(node);
    world_.run(seconds(4));
  }
  setServerFaults({});
  world_.run(seconds(14));
  expectAllServed();
}

TEST_F(HeartbeatOwnershipTest, LostAcknowledgementsLoseNoKey) {
  setServerFaults({false, 0, 0.4, 0});
  world_.drainServer(1);
  world_.run(seconds(8));
  EXPECT_EQ(world_.servedBy(1), 0U);
  setServerFaults({});
  world_.run(seconds(6));
  expectAllServed();
}

TEST_F(HeartbeatOwnershipTest, LostStoreAnswersLoseNoKey) {
  setStoreFaults({false, 0.3, 0.2});
  world_.drainServer(2);
  world_.run(seconds(10));
  setStoreFaults({});
  world_.run(seconds(8));
  expectAllServed();
}

TEST_F(HeartbeatOwnershipTest, KeysAreServedDuringAMove) {
  const Key busy = 100;
  world_.setOccupancy(0, 1.2);
  for (std::size_t node = 1; node < kNodes; ++node) {
    world_.setOccupancy(node, 0.1);
  }
  for (Key key = 0; key < busy; ++key) {
    world_.addKeyRequests(0, key, 20);
  }
  world_.run(seconds(3));
  EXPECT_LT(world_.servedBy(0), world_.sampledKeys() / kNodes);
  expectAllServed();
}

/// Random faults of all kinds, with the seed as parameter.
class HeartbeatOwnershipSoakTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(HeartbeatOwnershipSoakTest, KeepsOneOwnerUnderRandomFaults) {
  constexpr int kSteps = 40;
  SimulatedCluster world(kNodes, GetParam(), heartbeatConfig());
  SeededRandom random(GetParam() + 1);
  std::vector<bool> dead(kNodes, false);
  std::vector<bool> without_server(kNodes, false);
  world.run(seconds(4));
  MetadataObject old_table = world.table();
  for (int step = 0; step < kSteps; ++step) {
    const std::size_t node = random.below(kNodes);
    switch (random.below(11)) {
      case 0:
        if (!dead[node]) {
          world.killNode(node);
          dead[node] = true;
        }
        break;
      case 1:
        world.restartNodeWithLease(node);
        dead[node] = false;
        break;
      case 2:
        if (!dead[node]) {
          world.pauseNode(node);
        }
        break;
      case 3:
        if (!dead[node]) {
          world.resumeNode(node);
        }
        break;
      case 4:
        world.killServer(node);
        without_server[node] = true;
        break;
      case 5:
        world.startServer(node);
        without_server[node] = false;
        break;
      case 6:
        world.setStoreFaults(node, {random.below(3) == 0, 0.2, 0.2});
        break;
      case 7:
        world.setServerFaults(node, {random.below(4) == 0, 0.2, 0.2, 0.2});
        break;
      case 8:
        world.killNode(node);
        world.run(milliseconds(random.below(1500)));
        world.restartNodeWithPeerTable(node, old_table);
        dead[node] = false;
        break;
      case 9:
        old_table = world.table();
        break;
      default:
        if (!without_server[node]) {
          world.drainServer(node);
        }
        break;
    }
    world.run(milliseconds(100 + random.below(3000)));
  }
  expectRecovery(world, kNodes);
}

INSTANTIATE_TEST_SUITE_P(Seeds, HeartbeatOwnershipSoakTest, ::testing::Range<std::uint64_t>(1, 41));

}  // namespace
}  // namespace shedlever::sim::test
