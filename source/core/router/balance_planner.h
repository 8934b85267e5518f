#pragma once

/// @file
/// Which keys a busy owner gives to which others, so that load evens out with few moves.

#include <optional>
#include <vector>

#include "source/core/router/key_meter.h"
#include "source/core/router/owner_table.h"
#include "source/core/router/ownership_config.h"

namespace shedlever {

/// A server that could take keys.
struct BalanceTarget {
  OwnerPlace place;
  /// Requests running and waiting there, as a share of its slots.
  double occupancy = 0;
};

/// What the owner sees when it decides.
struct BalanceView {
  std::vector<OwnedRange> owned;
  /// Others of the service that take requests, the least loaded first.
  std::vector<BalanceTarget> targets;
  /// Other owners that are as busy, and see the same idle servers.
  std::size_t other_givers = 0;
  /// Own occupancy, smoothed.
  double occupancy = 0;
};

/// Keys for one server.
struct PlannedMove {
  KeySpan keys;
  OwnerPlace to;
};

class BalancePlanner {
 public:
  /// @param meter, config outlive the planner.
  BalancePlanner(const KeyMeter& meter, const OwnershipConfig& config) : meter_(meter), config_(config) {}

  /// @return the next move: a part of the difference to the least loaded server; none when the load is even enough.
  std::optional<PlannedMove> plan(const BalanceView& view, TimePoint now) const;

 private:
  double workOf(const std::vector<OwnedRange>& ranges, TimePoint now) const;

  const KeyMeter& meter_;
  const OwnershipConfig& config_;
};

}  // namespace shedlever
