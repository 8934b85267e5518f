#pragma once

/// @file
/// Which keys a busy owner gives to which others. All owners work from the same figures, what is asked of each server
/// and how much it can take, so that together they even the load out in one step without giving too much.

#include <vector>

#include "source/core/router/key_meter.h"
#include "source/core/router/owner_table.h"
#include "source/core/router/ownership_config.h"

namespace shedlever {

/// Work that is asked of one server.
struct OfferedLoad {
  /// Slots that all requests for its keys would keep busy; more than it has while some are refused.
  double demand = 0;
  double slots = 0;
  /// Time that one request runs there, in seconds: a slow server's is longer.
  double service_seconds = 0;

  double utilization() const { return slots > 0 ? demand / slots : 0; }
};

/// A server that could take keys.
struct BalanceTarget {
  OwnerLocation place;
  OfferedLoad load;
};

/// What the owner sees when it decides.
struct BalanceInput {
  std::vector<OwnedRange> owned;
  OfferedLoad own_load;
  /// Others of the service that take requests.
  std::vector<BalanceTarget> targets;
};

/// Keys for one server.
struct PlannedMove {
  KeyRange keys;
  OwnerLocation to;
};

class BalancePlanner {
 public:
  /// @param meter, config outlive the planner.
  BalancePlanner(const KeyMeter& meter, const OwnershipConfig& config) : meter_(meter), config_(config) {}

  /// @return the moves that bring this owner down to what all have on average, each server below the average taking its
  ///   part; none while the load is even enough, or there is room.
  std::vector<PlannedMove> plan(const BalanceInput& view, TimePoint now) const;

 private:
  const KeyMeter& meter_;
  const OwnershipConfig& config_;
};

}  // namespace shedlever
