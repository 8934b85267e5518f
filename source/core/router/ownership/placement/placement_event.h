#pragma once

/// @file
/// Events of the placement of a service's keys, for the log and metrics.

#include <cstdint>
#include <string>

namespace shedlever {

/// What became of a plan or of its flows.
enum class PlacementStep : std::uint8_t {
  Planned,            ///< this node has planned flows for the service
  Given,              ///< this owner moves keys for its flows
  OtherPlanner,       ///< flows dropped: another node plans
  Older,              ///< flows dropped: the plan is not newer than the last one
  OtherInstance,      ///< flows dropped: they are for another instance of this node's server
  Late,               ///< flows dropped: the owner was still moving keys
  LoadNotSettled,     ///< flows dropped: the loads may not show the owner's last moves yet
  TargetsNotPresent,  ///< flows dropped: none of the servers may get keys
  NoKeysFit,          ///< flows dropped: no keys have about the load of the flows
};

/// @return the word used in logs and metrics.
const char* toString(PlacementStep step);

/// One step of a plan at this node.
struct PlacementEvent {
  PlacementStep step = PlacementStep::Planned;
  /// Number of the plan.
  std::uint64_t plan = 0;
  /// Number of flows; for `Given` the number of moves.
  std::size_t moves = 0;
  /// Further details as key=value.
  std::string detail = {};
};

}  // namespace shedlever
