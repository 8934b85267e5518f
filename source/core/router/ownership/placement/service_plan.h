#pragma once

/// @file
/// Plans for all servers of a service which of them give load to which others. The giving owners choose the keys.

#include <cstddef>
#include <vector>

#include "source/core/router/ownership/balance_planner.h"

namespace shedlever {

/// Load of one server of the service, as known to the process that plans.
struct ServerOffer {
  OfferedLoad load;
  /// Time over which the load was averaged, in seconds: it has not changed noticeably for this long.
  double averaged_seconds = 0;
  /// Whether the server may give keys away now.
  bool may_give = true;
  /// Whether keys may be moved to the server now.
  bool may_take = true;
};

/// What a move costs.
struct MoveCost {
  /// Time for which the moved keys have no owner, in seconds.
  double unowned_seconds = 0;
  /// Additional work of the new owner for keys without a handover, in slot-seconds for each slot of moved load.
  double cold_seconds = 0;
};

/// Which owners give load away, and how many flows a plan may have.
struct PlanLimits {
  /// Utilization below which an owner keeps its keys.
  double busy_utilization = 0;
  /// Difference to the planned mean utilization from which an owner gives load away.
  double utilization_gap = 0;
  std::size_t max_flows_per_owner = 0;
  std::size_t max_flows = 0;
};

/// Load that one server is to give to another.
struct LoadFlow {
  /// Indexes into the servers passed to `planService`.
  std::size_t from = 0;
  std::size_t to = 0;
  /// Slots that the load occupies at the giving server.
  double slots = 0;
};

/// The flows for all servers of a service, and the figures that they are based on.
struct ServicePlan {
  std::vector<LoadFlow> flows;
  /// Utilization of each server if all had the same.
  double mean_utilization = 0;
  /// Slots above the mean at the owners that are to give load away.
  double excess_slots = 0;
  /// Slot-seconds that the flows save, less their cost.
  double expected_saving = 0;
};

/// Gives the largest excess to the largest room, until no flow saves more than it costs. No server gets more than
/// brings it to the mean.
/// @param servers those without slots neither give nor take.
ServicePlan planService(const std::vector<ServerOffer>& servers, const PlanLimits& limits, const MoveCost& cost);

}  // namespace shedlever
