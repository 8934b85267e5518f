#pragma once

/// @file
/// Plays a scenario on virtual time and measures what users see of it: keys that nobody serves, and keys that move.

#include "source/lab/sim/scenario.h"

namespace shedlever::sim {

/// What one play has shown. Shares are of the keys looked at.
struct SimulationResult {
  /// Mean time that a key was served by nobody.
  Duration unavailable_mean{};
  /// Longest time in a row that some key was served by nobody.
  Duration unavailable_longest{};
  /// How often a key changed its server, as a multiple of all keys.
  double churn = 0;
  /// Changes of objects in the store.
  std::uint64_t store_changes = 0;
  /// Promises that were broken, in words.
  std::vector<std::string> violations;
};

/// The same scenario and seed give the same measures.
SimulationResult simulate(const Scenario& scenario, std::uint64_t seed);

}  // namespace shedlever::sim
