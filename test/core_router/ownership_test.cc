/// @file
/// Ownership of keys under faults: one owner a key, rising tokens, and keys that come back.

#include <gtest/gtest.h>

#include "test/support/ownership_expectations.h"

namespace shedlever::sim::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261202;

/// Runs long enough that a silent owner's keys are taken over.
constexpr Duration kTakeover = seconds(14);

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

TEST_F(OwnershipTest, DividesKeysEvenlyAtFirst) {
  for (std::size_t node = 0; node < 4; ++node) {
    EXPECT_EQ(world_.servedBy(node), world_.sampledKeys() / 4);
  }
}

TEST_F(OwnershipTest, DeadServersKeysGoToOthersWithinASecond) {
  world_.killServer(1);
  world_.run(seconds(1));
  EXPECT_EQ(world_.servedBy(1), 0U);
  expectAllServed();
}

TEST_F(OwnershipTest, RestartedProcessTakesItsKeysUpAgain) {
  world_.killNode(2);
  world_.run(seconds(1));
  world_.restartNode(2);
  world_.run(seconds(1));
  EXPECT_EQ(world_.servedBy(2), world_.sampledKeys() / 4);
  expectAllServed();
}

TEST_F(OwnershipTest, SilentNodesKeysAreTakenOver) {
  world_.killNode(3);
  world_.run(kTakeover);
  expectAllServed();
}

TEST_F(OwnershipTest, PausedNodeFindsItsKeysGone) {
  world_.pauseNode(0);
  world_.run(kTakeover);
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

TEST_F(OwnershipTest, DrainHandsAllKeysOver) {
  world_.drainServer(1);
  world_.run(milliseconds(800));
  EXPECT_EQ(world_.servedBy(1), 0U);
  expectAllServed();
}

TEST_F(OwnershipTest, NewLifeOfAServerTakesTheKeysOfTheOld) {
  world_.killServer(1);
  world_.startServer(1);
  world_.run(seconds(1));
  EXPECT_EQ(world_.servedBy(1), world_.sampledKeys() / 4);
  expectAllServed();
}

// Seen: after all machines had lost power, requests named the servers' earlier lives and were refused
// for seconds, until their gateways had read the table again.
TEST_F(OwnershipTest, WhoAsksForAnEarlierLifeIsToldTheNewOne) {
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

TEST_F(OwnershipTest, StoreDownForAllKeepsKeysWhileTheLeaseLasts) {
  for (std::size_t node = 0; node < 4; ++node) {
    world_.setStoreFaults(node, {true, 0, 0});
  }
  world_.run(seconds(6));
  expectAllServed();
}

// Seen: an owner's process was killed while the store was down; its keys were refused for as long as
// that lasted.
TEST_F(OwnershipTest, RestartedOwnerGoesOnWithItsLeaseWhileTheStoreIsDown) {
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
  EXPECT_EQ(world_.servedKeys(), 0U) << "no lease outlasts its time";
}

TEST_F(OwnershipTest, RestartedOwnerHoldsNothingWithoutALease) {
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

TEST_F(OwnershipTest, OrdersCarriedOutLateHarmNothing) {
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

TEST_F(OwnershipTest, BusyOwnerGivesWorkToAnIdleOne) {
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

// Seen: two owners with seven ranges each, none beside another, tried to join them for good and gave
// nothing away any more.
TEST_F(OwnershipTest, OwnerOfManyScatteredRangesStillGivesWorkAway) {
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

// Seen: a server whose health was good failed all its requests, and kept its keys.
TEST_F(OwnershipTest, FailingServersKeysGoToSounderOnes) {
  world_.setFailureRatio(1, 0.9);
  world_.run(seconds(2));
  EXPECT_EQ(world_.servedBy(1), 0U);
  expectAllServed();
}

TEST_F(OwnershipTest, ServersThatAllFailAlikeKeepTheirKeys) {
  // Replies tell it again and again.
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

TEST_F(OwnershipTest, DeadServersKeysDontGoToAFailingOne) {
  world_.setFailureRatio(3, 0.9);
  world_.killServer(1);
  world_.run(seconds(1));
  EXPECT_EQ(world_.servedBy(3), 0U);
  expectAllServed();
}

// Three owners that each give the larger part of the difference to one idle server would bury it.
TEST_F(OwnershipTest, OwnersTogetherDoNotBuryAnIdleServer) {
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

// Seen: a machine went for good, its keys
// were taken over; after all others had been killed they gave it keys again, by its old record.
TEST_F(OwnershipTest, KeysAreNotGivenToANodeKnownByItsRecordAlone) {
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

/// Faults of all kinds at random times, on seeds that the test names.
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
