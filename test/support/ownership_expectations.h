#pragma once

/// @file
/// What must hold of every simulated world of owners.

#include <gtest/gtest.h>

#include "source/lab/sim/ownership_world.h"

namespace shedlever::sim::test {

/// Fails with the first promise that was broken, if any was.
inline void expectNoViolations(const SimulatedCluster& world) {
  if (!world.violations().empty()) {
    ADD_FAILURE() << world.violations().front();
  }
}

/// All faults end and all processes and servers start again: every key is served once that has settled.
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
