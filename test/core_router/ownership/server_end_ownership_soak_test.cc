/// @file
/// Servers that refuse connections while they run on, and successors beside earlier instances, under random faults: one
/// owner per key, increasing tokens, and recovery.

#include <gtest/gtest.h>

#include <functional>

#include "test/support/ownership_expectations.h"

namespace shedlever::sim::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 4;
constexpr int kSteps = 40;
/// How long requests for released keys run on, as they do by default with grants by heartbeat.
constexpr Duration kWorkAfterRelease = milliseconds(220);

OwnershipConfig configFor(std::uint64_t seed) {
  OwnershipConfig config;
  config.grant_delivery = seed % 2 == 0 ? GrantDelivery::Heartbeat : GrantDelivery::Request;
  return config;
}

/// Even seeds use grants by heartbeat.
class ServerEndOwnershipSoakTest : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  void endOrStartProcess(std::size_t node) {
    if (dead_[node]) {
      world_.restartNodeWithLease(node);
    } else {
      world_.killNode(node);
    }
    dead_[node] = !dead_[node];
  }

  void pauseOrResume(std::size_t node) {
    if (dead_[node]) {
      return;
    }
    if (random_.below(2) == 0) {
      world_.pauseNode(node);
    } else {
      world_.resumeNode(node);
    }
  }

  /// The server refuses connections, in half of the cases after it has reported that it drains.
  void refuse(std::size_t node) {
    if (random_.below(2) == 0) {
      world_.drainServer(node);
    }
    world_.refuseConnections(node);
    if (random_.below(2) == 0) {
      world_.connectToServer(node);
    }
  }

  /// A successor starts while the earlier instance runs on, and reports at once.
  void startBesideEarlierInstance(std::size_t node) {
    world_.startUnreportedServer(node);
    world_.reportServer(node);
  }

  /// The server crashes, and its successor reports up to 1.2 s after it has taken the address.
  void restartWithLateReport(std::size_t node) {
    world_.killServer(node);
    world_.startUnreportedServer(node);
    world_.run(milliseconds(random_.below(1200)));
    world_.reportServer(node);
  }

  /// Faults that each of the tests adds its own to.
  void commonFault(std::size_t node) {
    switch (random_.below(7)) {
      case 0:
        return endOrStartProcess(node);
      case 1:
        return pauseOrResume(node);
      case 2:
        return world_.killEarlierServers(node);
      case 3:
        return world_.setStoreFaults(node, {random_.below(4) == 0, 0.2, 0.2});
      case 4:
        return world_.setServerFaults(node, {random_.below(4) == 0, 0.2, 0.2, 0.2, kWorkAfterRelease});
      case 5:
        return world_.drainServer(node);
      default:
        return world_.startServer(node);
    }
  }

  /// Applies the test's own fault in a quarter of the steps and a common one in the others.
  void runWithFaults(const std::function<void(std::size_t node)>& own_fault) {
    world_.run(seconds(5));
    for (int step = 0; step < kSteps; ++step) {
      const std::size_t node = random_.below(kNodes);
      if (random_.below(4) == 0) {
        own_fault(node);
      } else {
        commonFault(node);
      }
      world_.run(milliseconds(100 + random_.below(3000)));
    }
    expectRecovery(world_, kNodes);
  }

  SimulatedCluster world_{kNodes, GetParam(), configFor(GetParam())};
  SeededRandom random_{GetParam() + 1};
  std::vector<bool> dead_ = std::vector<bool>(kNodes, false);
};

// The common faults alone must break nothing, so that a failure of the tests below shows their own fault.
TEST_P(ServerEndOwnershipSoakTest, KeepsOneOwnerUnderTheCommonFaults) {
  runWithFaults([this](std::size_t node) { commonFault(node); });
}

// A server that runs on after a refused connection must not hold keys that others get.
TEST_P(ServerEndOwnershipSoakTest, KeepsOneOwnerWhileServersRefuseConnectionsAndRunOn) {
  runWithFaults([this](std::size_t node) { refuse(node); });
}

// As above, for a server that runs on beside its successor.
TEST_P(ServerEndOwnershipSoakTest, KeepsOneOwnerWhileServersRunOnBesideTheirSuccessors) {
  runWithFaults([this](std::size_t node) { startBesideEarlierInstance(node); });
}

// A successor must not get keys under the token of its predecessor before its first report.
TEST_P(ServerEndOwnershipSoakTest, KeepsTokensRisingWhileServersRestartAndReportLate) {
  runWithFaults([this](std::size_t node) { restartWithLateReport(node); });
}

INSTANTIATE_TEST_SUITE_P(Seeds, ServerEndOwnershipSoakTest, ::testing::Range<std::uint64_t>(1, 31));

}  // namespace
}  // namespace shedlever::sim::test
