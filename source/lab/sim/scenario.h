#pragma once

/// @file
/// Scenario of an ownership simulation: nodes, duration and faults. Parsed from JSON; see docs/SCENARIOS.md.

#include <cstdint>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "source/core/router/ownership/ownership_config.h"

namespace shedlever::sim {

enum class FaultKind : std::uint8_t {
  KillNode,        ///< the process stops and restarts after the duration
  PauseNode,       ///< the process is paused
  KillServer,      ///< the server crashes; a new instance starts after the duration
  DrainServer,     ///< the server drains; a new instance starts after the duration
  RefuseServer,    ///< the server refuses connections and runs on; it ends and a new instance starts after the duration
  LeaveServer,     ///< as `RefuseServer`, after the server has reported that it drains
  OverlapServers,  ///< a new instance starts; the earlier one runs on for the duration
  ReportLate,      ///< the server is replaced; the new instance reports after the duration
  SilenceServer,   ///< commands to the server and its heartbeats are lost
  LateCommands,    ///< half of the commands to the server, or of its heartbeats, are seconds late
  StoreDown,       ///< the store is unreachable
  StoreLossy,      ///< writes lose their response or are applied seconds late
  StoreRestored,   ///< after the duration the store is restored to its state at `at`; ignores `nodes`
  Busy,            ///< all slots of the server are in use
  LimitServer,     ///< the server names a limit of a third of the requests for its keys
};

struct Fault {
  FaultKind kind = FaultKind::KillNode;
  Duration at{};
  Duration duration{};
  /// Affected nodes.
  std::vector<std::size_t> nodes;
};

struct Scenario {
  std::string name;
  std::size_t nodes = 4;
  /// Simulated time after the warm-up.
  Duration duration = std::chrono::seconds(40);
  OwnershipConfig ownership;
  std::vector<Fault> faults;
};

/// @return the scenario, or Findings with all errors.
leaf::result<Scenario> parseScenario(const std::string& text);

/// As `parseScenario`, from a file.
leaf::result<Scenario> readScenario(const std::string& path);

/// Sets one value, for example "lease=5s" or "busy_occupancy=0.8".
/// @return an error message; empty if the value was set.
std::string applyVariant(const std::string& variant, OwnershipConfig& config);

}  // namespace shedlever::sim
