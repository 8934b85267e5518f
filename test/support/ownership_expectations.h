#pragma once

/// @file
/// Expectations that hold for every simulated ownership world.

#include <gtest/gtest.h>

#include "source/lab/sim/simulated_cluster.h"

namespace shedlever::sim::test {

/// Fails with the first violation, if there is one.
inline void expectNoViolations(const SimulatedCluster& world) {
  if (!world.violations().empty()) {
    ADD_FAILURE() << world.violations().front();
  }
}

/// Ends all faults, restarts all processes and servers, and expects that every sampled key to be after 30 seconds.
inline void expectRecovery(SimulatedCluster& world, std::size_t nodes) {
  expectNoViolations(world);
  for (std::size_t node = 0; node < nodes; ++node) {
    world.setStoreFaults(node, {});
    world.setServerFaults(node, {});
    world.startServer(node);
    world.restartNode(node);
  }
  world.run(std::chrono::seconds(30));
  expectNoViolations(world);
  EXPECT_EQ(world.servedKeys(), world.sampledKeys());
}

}  // namespace shedlever::sim::test
