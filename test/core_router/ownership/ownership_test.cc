/// @file
/// Ownership under faults: one owner per key, increasing tokens, and recovery of all keys.

#include <gtest/gtest.h>

#include "test/support/ownership_expectations.h"

namespace shedlever::sim::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261202;

/// Long enough for the takeover of an unreachable owner's keys.
constexpr Duration kTakeoverTime = seconds(14);

class OwnershipTest : public ::testing::Test {
 protected:
  void SetUp() override {
    world_.run(seconds(4));
    ASSERT_EQ(world_.servedKeys(), world_.sampledKeys());
  }
  void TearDown() override { expectNoViolations(world_); }

  void expectAllServed() { EXPECT_EQ(world_.servedKeys(), world_.sampledKeys()); }

  SimulatedCluster world_{4, kSeed};
};

TEST_F(OwnershipTest, InitialTableDividesKeysEvenly) {
  for (std::size_t node = 0; node < 4; ++node) {
    EXPECT_EQ(world_.servedBy(node), world_.sampledKeys() / 4);
  }
}

TEST_F(OwnershipTest, DeadServersKeysMoveWithinASecond) {
  world_.killServer(1);
  world_.run(seconds(1));
  EXPECT_EQ(world_.servedBy(1), 0U);
  expectAllServed();
}

TEST_F(OwnershipTest, WriterSendsTheDifferenceFromTheTableBefore) {
  const std::uint64_t before = world_.checkedTransfers();
  world_.killServer(1);
  world_.run(seconds(1));
  EXPECT_GT(world_.checkedTransfers(), before);
}

TEST_F(OwnershipTest, RestartedProcessKeepsItsKeys) {
  world_.killNode(2);
  world_.run(seconds(1));
  world_.restartNode(2);
  world_.run(seconds(1));
  EXPECT_EQ(world_.servedBy(2), world_.sampledKeys() / 4);
  expectAllServed();
}

TEST_F(OwnershipTest, UnreachableNodesKeysAreTakenOver) {
  world_.killNode(3);
  world_.run(kTakeoverTime);
  expectAllServed();
}

TEST_F(OwnershipTest, PausedNodesKeysAreTakenOver) {
  world_.pauseNode(0);
  world_.run(kTakeoverTime);
  expectAllServed();
  world_.resumeNode(0);
  world_.run(seconds(5));
  expectAllServed();
}

TEST_F(OwnershipTest, ShortPauseKeepsKeys) {
  world_.pauseNode(0);
  world_.run(seconds(4));
  world_.resumeNode(0);
  world_.run(seconds(1));
  EXPECT_EQ(world_.servedBy(0), world_.sampledKeys() / 4);
  expectAllServed();
}

TEST_F(OwnershipTest, DrainMovesAllKeys) {
  world_.drainServer(1);
  world_.run(milliseconds(800));
  EXPECT_EQ(world_.servedBy(1), 0U);
  expectAllServed();
}

TEST_F(OwnershipTest, RestartedServerReclaimsItsKeys) {
  world_.killServer(1);
  world_.startServer(1);
  world_.run(seconds(1));
  EXPECT_EQ(world_.servedBy(1), world_.sampledKeys() / 4);
  expectAllServed();
}

// A request for an earlier instance of a server must get a hint to the new instance at once.
TEST_F(OwnershipTest, HintNamesTheNewInstanceAfterARestart) {
  const Key key = 1;
  const OwnerHint before = world_.hint(0, key);
  world_.killServer(0);
  world_.startServer(0);
  world_.run(seconds(1));
  const OwnerHint after = world_.hint(0, key);
  EXPECT_GT(after.revision, before.revision);
  EXPECT_NE(after.owner, before.owner);
  EXPECT_FALSE(after.owner.empty());
}

TEST_F(OwnershipTest, KeysAreServedUnderTheLeaseWhileTheStoreIsDown) {
  for (std::size_t node = 0; node < 4; ++node) {
    world_.setStoreFaults(node, {true, 0, 0});
  }
  world_.run(seconds(6));
  expectAllServed();
}

// An owner whose process restarts while the store is down must keep serving its keys under its lease.
TEST_F(OwnershipTest, RestartedOwnerKeepsItsLeaseWhileTheStoreIsDown) {
  for (std::size_t node = 0; node < 4; ++node) {
    world_.setStoreFaults(node, {true, 0, 0});
  }
  world_.run(seconds(1));
  world_.killNode(2);
  world_.run(milliseconds(600));
  world_.restartNodeWithLease(2);
  world_.run(seconds(1));
  expectAllServed();
  world_.run(seconds(12));
  EXPECT_EQ(world_.servedKeys(), 0U) << "all leases have expired";
}

TEST_F(OwnershipTest, RestartedOwnerServesNothingWithoutALease) {
  for (std::size_t node = 0; node < 4; ++node) {
    world_.setStoreFaults(node, {true, 0, 0});
  }
  world_.killNode(2);
  world_.run(seconds(3));
  world_.restartNode(2);
  world_.run(seconds(1));
  EXPECT_EQ(world_.servedBy(2), 0U);
}

TEST_F(OwnershipTest, LostStoreAnswersLoseNoKey) {
  for (std::size_t node = 0; node < 4; ++node) {
    world_.setStoreFaults(node, {false, 0.3, 0.2});
  }
  world_.killServer(1);
  world_.run(seconds(5));
  world_.drainServer(2);
  world_.run(seconds(10));
  for (std::size_t node = 0; node < 4; ++node) {
    world_.setStoreFaults(node, {});
  }
  world_.run(seconds(8));
  expectAllServed();
}

TEST_F(OwnershipTest, DelayedCommandsLoseNoKey) {
  for (std::size_t node = 0; node < 4; ++node) {
    world_.setServerFaults(node, {false, 0.4});
  }
  world_.run(seconds(2));
  world_.drainServer(2);
  world_.run(seconds(15));
  for (std::size_t node = 0; node < 4; ++node) {
    world_.setServerFaults(node, {});
  }
  world_.run(seconds(14));
  expectAllServed();
}

TEST_F(OwnershipTest, BusyOwnerMovesLoadToAnIdleServer) {
  const Key busy = 100;
  world_.setOccupancy(0, 1.2);
  for (std::size_t node = 1; node < 4; ++node) {
    world_.setOccupancy(node, 0.1);
  }
  for (Key key = 0; key < busy; ++key) {
    world_.addKeyRequests(0, key, 20);
  }
  world_.run(seconds(2));
  EXPECT_LT(world_.servedBy(0), world_.sampledKeys() / 4);
  expectAllServed();
}

// Ranges that are not adjacent cannot be merged; this must not keep their owner from moving load away.
TEST_F(OwnershipTest, OwnerOfManyScatteredRangesStillMovesLoad) {
  world_.interleaveRanges(0, 1, 16);
  world_.run(seconds(2));
  const std::size_t before = world_.servedBy(0);
  world_.setOccupancy(0, 1.5);
  for (std::size_t node = 1; node < 4; ++node) {
    world_.setOccupancy(node, 0.1);
  }
  for (std::uint32_t key = 0; key < kKeyCount; key += 16) {
    world_.addKeyRequests(0, static_cast<Key>(key), 10);
  }
  world_.run(seconds(2));
  EXPECT_LT(world_.servedBy(0), before);
  expectAllServed();
}

// A server can pass its health checks and still fail all requests.
TEST_F(OwnershipTest, FailingServersKeysMoveToHealthyServers) {
  world_.setFailureRatio(1, 0.9);
  world_.run(seconds(2));
  EXPECT_EQ(world_.servedBy(1), 0U);
  expectAllServed();
}

TEST_F(OwnershipTest, KeysDoNotMoveIfAllServersFailAlike) {
  // Replies repeat the ratio.
  for (int round = 0; round < 10; ++round) {
    for (std::size_t node = 0; node < 4; ++node) {
      world_.setFailureRatio(node, 0.8);
    }
    world_.run(milliseconds(300));
  }
  for (std::size_t node = 0; node < 4; ++node) {
    EXPECT_EQ(world_.servedBy(node), world_.sampledKeys() / 4);
  }
}

TEST_F(OwnershipTest, DeadServersKeysDoNotMoveToAFailingServer) {
  world_.setFailureRatio(3, 0.9);
  world_.killServer(1);
  world_.run(seconds(1));
  EXPECT_EQ(world_.servedBy(3), 0U);
  expectAllServed();
}

// Three owners that each moved most of their excess to one idle server would overload it.
TEST_F(OwnershipTest, OwnersTogetherDoNotOverloadAnIdleServer) {
  world_.killServer(3);
  world_.run(seconds(2));
  world_.startServer(3);
  world_.setOccupancy(3, 0.0);
  for (std::size_t node = 0; node < 3; ++node) {
    world_.setOccupancy(node, 1.0);
    for (std::uint32_t key = 0; key < kKeyCount; key += 16) {
      world_.addKeyRequests(node, static_cast<Key>(key), 10);
    }
  }
  world_.run(milliseconds(900));
  EXPECT_GT(world_.servedBy(3), world_.sampledKeys() / 8);
  EXPECT_LE(world_.servedBy(3), world_.sampledKeys() * 3 / 8);
  expectAllServed();
}

// Records of removed nodes stay in the store; such a node must not get keys.
TEST_F(OwnershipTest, KeysDoNotMoveToANodeKnownOnlyFromItsRecord) {
  const std::size_t gone = 3;
  world_.killNode(gone);
  world_.run(seconds(14));
  for (std::size_t node = 0; node < gone; ++node) {
    world_.killNode(node);
    world_.restartNodeWithRecordsOnly(node);
  }
  world_.run(seconds(2));
  for (std::size_t node = 0; node < gone; ++node) {
    world_.setOccupancy(node, node == 0 ? 1.5 : 0.9);
    for (std::uint32_t key = 0; key < kKeyCount; key += 16) {
      world_.addKeyRequests(node, static_cast<Key>(key), 10);
    }
  }
  world_.run(seconds(3));
  const auto table = OwnerTable::decode(world_.table().value);
  ASSERT_TRUE(table);
  EXPECT_TRUE(table.value().ownedAt(NodeName("node-3")).empty());
  expectAllServed();
}

/// Random faults of all kinds, with the seed as parameter.
class OwnershipSoakTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(OwnershipSoakTest, KeepsOneOwnerUnderRandomFaults) {
  constexpr std::size_t kNodes = 4;
  constexpr int kSteps = 40;
  SimulatedCluster world(kNodes, GetParam());
  SeededRandom random(GetParam() + 1);
  std::vector<bool> dead(kNodes, false);
  std::vector<bool> without_server(kNodes, false);
  world.run(seconds(4));
  for (int step = 0; step < kSteps; ++step) {
    const std::size_t node = random.below(kNodes);
    switch (random.below(9)) {
      case 0:
        if (!dead[node]) {
          world.killNode(node);
          dead[node] = true;
        }
        break;
      case 1:
        world.restartNode(node);
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
        world.setServerFaults(node, {false, 0.3});
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

INSTANTIATE_TEST_SUITE_P(Seeds, OwnershipSoakTest, ::testing::Range<std::uint64_t>(1, 25));

}  // namespace
}  // namespace shedlever::sim::test
