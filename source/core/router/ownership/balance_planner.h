#pragma once

/// @file
/// Plans which keys an overloaded owner moves to which servers. All owners plan from the same reported load and
/// capacity, so that their moves together even out the load in one step without overloading a server.

#include <vector>

#include "source/core/router/ownership/key_meter.h"
#include "source/core/router/ownership/owner_table.h"
#include "source/core/router/ownership/ownership_config.h"

namespace shedlever {

/// Load that is offered to one server.
struct OfferedLoad {
  /// Slots that all requests for its keys would occupy; exceeds `slots` while requests are refused.
  double demand = 0;
  double slots = 0;
  /// Mean service time of a request, in seconds; higher on a slow server.
  double service_seconds = 0;

  double utilization() const { return slots > 0 ? demand / slots : 0; }
};

/// A server that could take keys.
struct BalanceTarget {
  OwnerLocation location;
  OfferedLoad load;
  /// Whether `load` comes from a recent report of the server's node; otherwise it is an assumption.
  bool reported = true;
};

/// Input of one planning step.
struct BalanceInput {
  std::vector<OwnedRange> owned;
  OfferedLoad own_load;
  /// The other servers of the service that accept requests.
  std::vector<BalanceTarget> targets;
  /// Differs between owners, so that those that can't use all targets begin at different ones.
  std::size_t rotation = 0;
};

/// Keys to be moved to one server.
struct PlannedMove {
  KeyRange keys;
  OwnerLocation to;
};

class BalancePlanner {
 public:
  /// @param meter, config must outlive the planner.
  BalancePlanner(const KeyMeter& meter, const OwnershipConfig& config) : meter_(meter), config_(config) {}

  /// @return the moves that reduce this owner's load to the average of all servers, with each server below the average
  ///   taking its share. Empty if this owner is not busy or is not far enough above the average.
  std::vector<PlannedMove> plan(const BalanceInput& input, TimePoint now) const;

 private:
  const KeyMeter& meter_;
  const OwnershipConfig& config_;
};

}  // namespace shedlever
