/// @file
/// Ownership while the store is restored from a backup: the newest owner table known to any process is restored, and no
/// key has two owners.

#include <gtest/gtest.h>

#include <cstdlib>

#include "test/support/ownership_expectations.h"

namespace shedlever::sim::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 4;
constexpr std::uint64_t kSeed = 20261203;

OwnershipConfig configOf(GrantDelivery delivery) {
  OwnershipConfig config;
  config.grant_delivery = delivery;
  return config;
}

class RestoredStoreOwnershipTest : public ::testing::TestWithParam<GrantDelivery> {
 protected:
  void SetUp() override {
    world_.run(seconds(6));
    ASSERT_EQ(world_.servedKeys(), world_.sampledKeys());
  }
  void TearDown() override { expectNoViolations(world_); }

  /// Moves all keys of a node to others.
  void moveAway(std::size_t node) {
    world_.drainServer(node);
    world_.run(seconds(3));
    ASSERT_EQ(world_.servedBy(node), 0U);
  }

  SimulatedCluster world_{kNodes, kSeed, configOf(GetParam())};
};

TEST_P(RestoredStoreOwnershipTest, MovedKeysStayWhenTheStoreLosesTheMove) {
  world_.copyStore();
  moveAway(1);
  world_.restoreStore();
  for (int step = 0; step < 300; ++step) {
    world_.run(milliseconds(100));
    ASSERT_EQ(world_.servedBy(1), 0U);
    ASSERT_EQ(world_.servedKeys(), world_.sampledKeys()) << "after " << step << " steps";
  }
}

TEST_P(RestoredStoreOwnershipTest, TableMissingInTheBackupIsWrittenAgain) {
  SimulatedCluster world(kNodes, kSeed, configOf(GetParam()));
  world.copyStore();
  world.run(seconds(6));
  ASSERT_EQ(world.servedKeys(), world.sampledKeys());
  const MetadataObject before = world.table();
  world.restoreStore();
  world.run(seconds(4));
  EXPECT_EQ(world.table().value, before.value);
  EXPECT_EQ(world.servedKeys(), world.sampledKeys());
  expectNoViolations(world);
}

TEST_P(RestoredStoreOwnershipTest, LeavingServersKeysMoveAfterARestore) {
  world_.copyStore();
  moveAway(1);
  world_.restoreStore();
  world_.drainServer(2);
  world_.run(seconds(9));
  EXPECT_EQ(world_.servedBy(2), 0U);
  EXPECT_EQ(world_.servedKeys(), world_.sampledKeys());
}

// The restored store does not contain the revocation, so the former holder can renew its lease.
TEST_P(RestoredStoreOwnershipTest, PausedProcessDoesNotReclaimKeysIfItsRevocationIsLost) {
  world_.copyStore();
  world_.pauseNode(0);
  world_.run(seconds(14));
  ASSERT_EQ(world_.servedKeys(), world_.sampledKeys());
  world_.restoreStore();
  world_.resumeNode(0);
  world_.run(seconds(20));
  EXPECT_EQ(world_.servedKeys(), world_.sampledKeys());
}

// While the table is of an earlier epoch, a process that starts cannot grant keys at once.
TEST_P(RestoredStoreOwnershipTest, ProcessStartedAfterTheRestoreServesAtOnce) {
  world_.copyStore();
  world_.restoreStore();
  world_.run(seconds(8));
  world_.killNode(2);
  world_.run(milliseconds(300));
  world_.restartNodeWithLease(2);
  world_.run(seconds(2));
  EXPECT_EQ(world_.servedKeys(), world_.sampledKeys());
}

// A lease that was read before the restore does not count; the wait for its expiry starts anew with the restore.
TEST_P(RestoredStoreOwnershipTest, DeadOwnersKeysAreTakenOverOneLeaseAfterTheRestore) {
  world_.copyStore();
  world_.killNode(3);
  world_.killServer(3);
  world_.run(seconds(5));
  world_.restoreStore();
  const Duration lease_and_more = seconds(13);
  world_.run(lease_and_more);
  EXPECT_EQ(world_.servedKeys(), world_.sampledKeys());
}

// Grants under lost changes may have been made until the second restore.
TEST_P(RestoredStoreOwnershipTest, SecondRestoreRestartsTheWait) {
  const auto epoch_of_table = [&] {
    const auto table = OwnerTable::decode(world_.table().value);
    return table ? table.value().epoch() : 0;
  };
  world_.copyStore();
  world_.restoreStore();
  world_.run(seconds(2));
  ASSERT_EQ(epoch_of_table(), 1U);
  world_.restoreStore();
  // The processes notice the restore at the next heartbeat or renewal; the longest grant lasts 2 s.
  world_.run(milliseconds(1900));
  EXPECT_EQ(epoch_of_table(), 1U);
  world_.run(seconds(6));
  EXPECT_EQ(epoch_of_table(), 3U);
}

// Each owner reads the table and few write it: the number of writes must not grow with the number of owners.
TEST(RestoredStoreCallsTest, TableWritesDoNotGrowWithTheNumberOfOwners) {
  for (const std::size_t nodes : {10U, 30U}) {
    SimulatedCluster world(nodes, kSeed, configOf(GrantDelivery::Request));
    world.run(seconds(20));
    ASSERT_EQ(world.servedKeys(), world.sampledKeys());
    world.copyStore();
    world.restoreStore();
    const std::uint64_t before = world.tableWrites();
    world.run(seconds(6));
    EXPECT_LE(world.tableWrites() - before, 3U) << nodes << " nodes";
    EXPECT_EQ(world.servedKeys(), world.sampledKeys());
    expectNoViolations(world);
  }
}

// Tokens of moves that the store has lost must not be issued again.
TEST_P(RestoredStoreOwnershipTest, TokensExceedThoseThatWereLost) {
  const auto last_token = [&] {
    const auto table = OwnerTable::decode(world_.table().value);
    return table ? table.value().lastToken() : 0;
  };
  world_.copyStore();
  moveAway(1);
  moveAway(2);
  const FenceToken lost = last_token();
  for (std::size_t node = 0; node < kNodes; ++node) {
    world_.killNode(node);
  }
  world_.restoreStore();
  for (std::size_t node = 0; node < kNodes; ++node) {
    world_.restartNode(node);
  }
  world_.startServer(1);
  world_.run(seconds(14));
  EXPECT_GT(last_token(), lost);
  EXPECT_EQ(world_.servedKeys(), world_.sampledKeys());
}

INSTANTIATE_TEST_SUITE_P(GrantDeliveries, RestoredStoreOwnershipTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat), [](const auto& instance) {
                           return instance.param == GrantDelivery::Request ? "Request" : "Heartbeat";
                         });

/// @return number of seeds to run; can be raised for long manual runs.
std::uint64_t seedCount() {
  constexpr std::uint64_t kUsual = 40;
  const char* wanted = std::getenv("SHEDLEVER_RESTORE_SEEDS");
  return wanted == nullptr ? kUsual : std::strtoull(wanted, nullptr, 10);
}

/// Backups are restored among random faults of all kinds. Even seeds use grants by heartbeat.
class RestoredStoreSoakTest : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  static constexpr int kSteps = 40;

  bool keysByHeartbeat() const { return GetParam() % 2 == 0; }

  void killOrRestart(std::size_t node, bool kill) {
    if (kill && !dead_[node]) {
      world_.killNode(node);
    } else if (!kill) {
      world_.restartNodeWithLease(node);
    }
    dead_[node] = kill;
  }

  void pauseOrResume(std::size_t node, bool pause) {
    if (dead_[node]) {
      return;
    }
    if (pause) {
      world_.pauseNode(node);
    } else {
      world_.resumeNode(node);
    }
  }

  void endOrStartServer(std::size_t node, bool end) {
    if (end) {
      world_.killServer(node);
    } else {
      world_.startServer(node);
    }
    without_server_[node] = end;
  }

  void copyOrRestore() {
    // The first step must take a backup.
    if (std::exchange(copied_, true) && random_.below(2) == 0) {
      world_.restoreStore();
    } else {
      world_.copyStore();
    }
  }

  void step() {
    const std::size_t node = random_.below(kNodes);
    switch (random_.below(8)) {
      case 0:
        killOrRestart(node, random_.below(2) == 0);
        break;
      case 1:
        pauseOrResume(node, random_.below(2) == 0);
        break;
      case 2:
        endOrStartServer(node, random_.below(2) == 0);
        break;
      case 3:
        world_.setStoreFaults(node, {random_.below(3) == 0, 0.2, 0.2});
        break;
      case 4:
        world_.setServerFaults(node, {false, 0.2, keysByHeartbeat() ? 0.2 : 0, keysByHeartbeat() ? 0.2 : 0});
        break;
      case 5:
        if (!without_server_[node]) {
          world_.drainServer(node);
        }
        break;
      default:
        copyOrRestore();
        break;
    }
    world_.run(milliseconds(100 + random_.below(3000)));
  }

  SimulatedCluster world_{kNodes, GetParam(),
                          configOf(GetParam() % 2 == 0 ? GrantDelivery::Heartbeat : GrantDelivery::Request)};
  SeededRandom random_{GetParam() + 1};
  std::vector<bool> dead_ = std::vector<bool>(kNodes, false);
  std::vector<bool> without_server_ = std::vector<bool>(kNodes, false);
  bool copied_ = false;
};

TEST_P(RestoredStoreSoakTest, KeepsOneOwnerUnderRandomFaults) {
  world_.run(seconds(4));
  for (int i = 0; i < kSteps; ++i) {
    step();
  }
  expectRecovery(world_, kNodes);
}

// Seed of a grant that was processed 6 s late and renewed the grant of a range beyond its owner's lease and the
// takeover.
INSTANTIATE_TEST_SUITE_P(LateRenewal, RestoredStoreSoakTest, ::testing::Values<std::uint64_t>(243));
INSTANTIATE_TEST_SUITE_P(Seeds, RestoredStoreSoakTest, ::testing::Range<std::uint64_t>(1, 1 + seedCount()));

}  // namespace
}  // namespace shedlever::sim::test
