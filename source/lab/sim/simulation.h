#pragma once

/// @file
/// Simulates a scenario in virtual time and measures the unavailability and the movement of keys.

#include "source/lab/sim/scenario.h"

namespace shedlever::sim {

/// Measurements of one simulation, over the sampled keys.
struct SimulationResult {
  /// Mean time per key during which no node served the key.
  Duration unavailable_mean{};
  /// Longest uninterrupted time during which no node served a key.
  Duration unavailable_longest{};
  /// Moves of keys to another node, divided by the number of keys.
  double churn = 0;
  /// Number of changes to objects in the store.
  std::uint64_t store_changes = 0;
  /// One message for each violated guarantee.
  std::vector<std::string> violations;
};

/// Deterministic for the same scenario and seed.
SimulationResult simulate(const Scenario& scenario, std::uint64_t seed);

}  // namespace shedlever::sim
