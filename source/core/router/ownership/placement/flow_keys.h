#pragma once

/// @file
/// Chooses the keys that an owner moves for the flows of a plan for its service.

#include <vector>

#include "source/core/router/ownership/balance_planner.h"

namespace shedlever {

/// Load that this owner is to give to one server.
struct KeyFlow {
  OwnerLocation to;
  /// Slots that the load occupies at this owner.
  double slots = 0;
};

/// Input for the choice of keys.
struct FlowInput {
  std::vector<OwnedRange> owned;
  OfferedLoad own_load;
  std::vector<KeyFlow> flows;
  /// The other servers of the service that accept requests.
  std::vector<BalanceTarget> targets;
};

/// A key with more load than the owner is to keep moves alone, to the fastest server that is not full with it and less
/// utilized than the owner; the other keys then move only as far as the owner still has more than it is to keep. If
/// there is no such server, the key stays and the others move.
/// @return the moves; fewer than the flows ask for if no keys fit.
std::vector<PlannedMove> chooseKeys(const KeyMeter& meter, const FlowInput& input, TimePoint now);

}  // namespace shedlever
