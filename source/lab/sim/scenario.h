#pragma once

/// @file
/// What a simulation of ownership is to play: nodes, times, faults. Read from JSON, see docs/SCENARIOS.md.

#include <cstdint>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "source/core/router/ownership_config.h"

namespace shedlever::sim {

enum class FaultKind : std::uint8_t {
  KillNode,       ///< the process ends and is started again after the fault's length
  PauseNode,      ///< the process stands still
  KillServer,     ///< the server ends; a new life begins after the fault's length
  DrainServer,    ///< the server leaves; a new life begins after the fault's length
  SilenceServer,  ///< the server carries no order out
  LateCommands,   ///< half of the orders to the server are carried out seconds later
  StoreDown,      ///< the store can't be reached
  StoreLossy,     ///< a third of the writes lose their answer, a fifth come seconds late
  StoreRestored,  ///< after the fault's length the store goes back to what it held at its beginning; nodes don't matter
  Busy,           ///< the server's slots are all in use
};

struct Fault {
  FaultKind kind = FaultKind::KillNode;
  Duration at{};
  Duration duration{};
  /// Nodes that it strikes.
  std::vector<std::size_t> nodes;
};

struct Scenario {
  std::string name;
  std::size_t nodes = 4;
  /// Time played after all keys are served for the first time.
  Duration duration = std::chrono::seconds(40);
  OwnershipConfig ownership;
  std::vector<Fault> faults;
};

/// @return the scenario, or Findings with everything that is wrong.
leaf::result<Scenario> parseScenario(const std::string& text);

/// As `parseScenario`, from a file.
leaf::result<Scenario> readScenario(const std::string& path);

/// Sets one value: "lease=5s", "busy_occupancy=0.8".
/// @return what is wrong; empty when it was set.
std::string applyVariant(const std::string& variant, OwnershipConfig& config);

}  // namespace shedlever::sim
