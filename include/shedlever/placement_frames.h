#pragma once

/// @file
/// Frames by which the planner of a service tells each owner how much load to move, and to which servers.

#include <cstdint>
#include <vector>

#include "shedlever/identifiers.h"

namespace shedlever {

/// Load that the receiver's server is to move to another server.
struct PlannedFlow {
  /// The other server and its node.
  InstanceId to;
  NodeName node;
  /// Hundredths of a slot of the receiver's server.
  std::uint32_t hundredths_of_slots = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(to, node, hundredths_of_slots);
  }
};

/// The part of a plan for the whole service that concerns the receiver. A receiver may miss it: the next plan starts
/// from the load that is there then.
struct PlacementPlanFrame {
  ServiceName service;
  /// Instance of the receiver's server for which the plan was made.
  InstanceId from;
  /// Increases with each plan of the sender's incarnation.
  std::uint64_t plan = 0;
  /// If empty, the frame only requests the load of the receiver's server and shows that the sender is the planner.
  std::vector<PlannedFlow> flows;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, from, plan, flows);
  }
};

}  // namespace shedlever
