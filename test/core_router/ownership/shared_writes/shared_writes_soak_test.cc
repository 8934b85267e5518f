/// @file
/// One process writes the edits of all owners under random faults: one owner per key, increasing tokens, and recovery.

#include <gtest/gtest.h>

#include "test/support/ownership_expectations.h"

namespace shedlever::sim::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 5;
constexpr int kSteps = 45;

OwnershipConfig configFor(std::uint64_t seed) {
  OwnershipConfig config;
  config.grant_delivery = seed % 2 == 0 ? GrantDelivery::Heartbeat : GrantDelivery::Request;
  config.shared_writes_from = 1;
  return config;
}

/// Guards against two owners of a key after edits that are written late, twice, by a process that was frozen, or in a
/// restored store. Even seeds use grants by heartbeat.
class SharedWritesSoakTest : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  void killOrRestart(std::size_t node) {
    if (dead_[node]) {
      world_.restartNodeWithLease(node);
    } else {
      world_.killNode(node);
    }
    dead_[node] = !dead_[node];
  }

  void pauseOrResume(std::size_t node) {
    if (!dead_[node] && random_.below(2) == 0) {
      world_.pauseNode(node);
    } else if (!dead_[node]) {
      world_.resumeNode(node);
    }
  }

  void endOrStartServer(std::size_t node) {
    if (random_.below(2) == 0) {
      world_.killServer(node);
      without_server_[node] = true;
    } else {
      world_.startServer(node);
      without_server_[node] = false;
    }
  }

  void drain(std::size_t node) {
    if (!without_server_[node]) {
      world_.drainServer(node);
    }
  }

  void copyOrRestore() {
    // The first step must take a backup.
    if (std::exchange(copied_, true) && random_.below(2) == 0) {
      world_.restoreStore();
    } else {
      world_.copyStore();
    }
  }

  void loseAll() {
    for (std::size_t node = 0; node < kNodes; ++node) {
      world_.killNode(node);
      world_.killServer(node);
    }
    world_.run(milliseconds(random_.below(12000)));
    for (std::size_t node = 0; node < kNodes; ++node) {
      world_.startServer(node);
      world_.restartNode(node);
      dead_[node] = false;
      without_server_[node] = false;
    }
  }

  void addLoad(std::size_t node) {
    if (!dead_[node]) {
      world_.setOccupancy(node, static_cast<double>(random_.below(20)) / 10);
      world_.addRequestsOnSampledKeys(node, 10);
    }
  }

  void step() {
    // The first node writes for all, so it has the most faults.
    const std::size_t node = random_.below(3) == 0 ? 0 : random_.below(kNodes);
    switch (random_.below(10)) {
      case 0:
        killOrRestart(node);
        break;
      case 1:
      case 2:
        pauseOrResume(node);
        break;
      case 3:
        endOrStartServer(node);
        break;
      case 4:
        world_.setStoreFaults(node, {random_.below(3) == 0, 0.2, 0.2, milliseconds(4 + random_.below(100))});
        break;
      case 5:
      case 6:
        world_.setEditFaults(node, {random_.below(4) == 0, 0.2, 0.3});
        break;
      case 7:
        drain(node);
        break;
      case 8:
        if (random_.below(4) == 0) {
          loseAll();
        } else {
          addLoad(node);
        }
        break;
      default:
        copyOrRestore();
        break;
    }
    world_.run(milliseconds(50 + random_.below(2500)));
  }

  SimulatedCluster world_{kNodes, GetParam(), configFor(GetParam())};
  SeededRandom random_{GetParam() + 1};
  std::vector<bool> dead_ = std::vector<bool>(kNodes, false);
  std::vector<bool> without_server_ = std::vector<bool>(kNodes, false);
  bool copied_ = false;
};

TEST_P(SharedWritesSoakTest, KeepsOneOwnerUnderRandomFaults) {
  world_.run(seconds(4));
  for (int i = 0; i < kSteps; ++i) {
    step();
  }
  for (std::size_t node = 0; node < kNodes; ++node) {
    world_.setEditFaults(node, {});
  }
  expectRecovery(world_, kNodes);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SharedWritesSoakTest, ::testing::Range<std::uint64_t>(1, 61));

}  // namespace
}  // namespace shedlever::sim::test
