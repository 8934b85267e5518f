/// @file
/// Keys of an evacuated zone move to other zones under all faults, and no key has two owners.

#include <gtest/gtest.h>

#include <vector>

#include "test/support/ownership_expectations.h"

namespace shedlever::sim::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261203;
/// Keys must have moved long before the evacuation is complete: 1.5 s of 5 s.
constexpr Duration kMoveTime = milliseconds(1500);

class EvacuationOwnershipTest : public ::testing::TestWithParam<GrantDelivery> {
 protected:
  static OwnershipConfig config() {
    OwnershipConfig made;
    made.grant_delivery = GetParam();
    return made;
  }

  void SetUp() override {
    world_.run(seconds(4));
    ASSERT_EQ(world_.servedKeys(), world_.sampledKeys());
  }

  void TearDown() override { expectNoViolations(world_); }

  /// All keys are served, and none by these nodes.
  void expectServedByOthersThan(const std::vector<std::size_t>& evacuated) {
    for (const std::size_t node : evacuated) {
      EXPECT_EQ(world_.servedBy(node), 0U);
    }
    EXPECT_EQ(world_.servedKeys(), world_.sampledKeys());
  }

  /// Heartbeats arrive once per second, and a release by heartbeat takes two of them.
  Duration moveTime() const { return GetParam() == GrantDelivery::Request ? kMoveTime : kMoveTime * 2; }

  SimulatedCluster world_{4, kSeed, config()};
};

TEST_P(EvacuationOwnershipTest, KeysMoveToOtherZonesAndAreServedThere) {
  world_.setEvacuated(1, true);
  world_.run(moveTime());
  expectServedByOthersThan({1});
}

TEST_P(EvacuationOwnershipTest, TwoZonesCanBeEvacuatedAtOnce) {
  world_.setEvacuated(1, true);
  world_.setEvacuated(2, true);
  world_.run(moveTime());
  expectServedByOthersThan({1, 2});
}

// No key may move to a server in an evacuated zone, even if no key can be served.
TEST_P(EvacuationOwnershipTest, KeysDoNotMoveIfAllZonesAreEvacuated) {
  for (std::size_t node = 0; node < 4; ++node) {
    world_.setEvacuated(node, true);
  }
  const std::uint64_t changes = world_.storeChanges();
  world_.run(seconds(2));
  EXPECT_LE(world_.storeChanges(), changes + 4);
}

TEST_P(EvacuationOwnershipTest, RestartedServerInTheZoneGetsNoKeys) {
  world_.setEvacuated(1, true);
  world_.run(milliseconds(100));
  world_.killServer(1);
  world_.run(milliseconds(300));
  world_.startServer(1);
  world_.run(seconds(6));
  expectServedByOthersThan({1});
}

TEST_P(EvacuationOwnershipTest, RestartedProcessInTheZoneKeepsNoKeys) {
  world_.setEvacuated(1, true);
  world_.killNode(1);
  world_.run(milliseconds(300));
  world_.restartNode(1);
  world_.run(seconds(6));
  expectServedByOthersThan({1});
}

TEST_P(EvacuationOwnershipTest, AllKeysAreServedAfterARevokedEvacuation) {
  world_.setEvacuated(1, true);
  world_.run(milliseconds(250));
  world_.setEvacuated(1, false);
  world_.run(seconds(3));
  EXPECT_EQ(world_.servedKeys(), world_.sampledKeys());
}

TEST_P(EvacuationOwnershipTest, EvacuationDuringADrainLosesNoKey) {
  world_.setEvacuated(1, true);
  world_.drainServer(2);
  world_.run(moveTime() + seconds(1));
  expectServedByOthersThan({1, 2});
}

// Half of all commands and heartbeats get no answer and are processed 2 to 12 s later, after newer ones.
TEST_P(EvacuationOwnershipTest, DelayedCommandsLeaveNoKeyWithTwoOwners) {
  for (std::size_t node = 0; node < 4; ++node) {
    world_.setServerFaults(node, {false, 0.5, 0, 0});
  }
  for (const std::size_t node : {1U, 2U, 1U}) {
    world_.setEvacuated(node, true);
    world_.run(seconds(5));
    world_.setEvacuated(node, false);
    world_.run(seconds(2));
  }
  for (std::size_t node = 0; node < 4; ++node) {
    world_.setServerFaults(node, {});
  }
  // The last delayed command is processed 12 s after it was sent.
  world_.run(seconds(16));
  EXPECT_EQ(world_.servedKeys(), world_.sampledKeys());
}

INSTANTIATE_TEST_SUITE_P(BothDeliveries, EvacuationOwnershipTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat));

}  // namespace
}  // namespace shedlever::sim::test
