#include "source/core/router/ownership/placement/service_plan.h"

#include <algorithm>
#include <cmath>

namespace shedlever {

namespace {

/// Smaller flows are not worth the two writes of the owner table that a move takes.
constexpr double kMinFlowSlots = 0.25;
/// Assumed maximum error of a measured load, in standard deviations.
constexpr double kMaxDeviations = 3;
/// Assumed before a request has been timed at any server.
constexpr double kDefaultServiceSeconds = 0.1;

/// A server while its flows are planned. All servers count requests alike, but the same requests occupy more slots at a
/// slow server.
struct PlannedServer {
  std::size_t index = 0;
  /// Mean service time, in seconds.
  double seconds = 0;
  /// Slots in use with the flows planned so far.
  double demand = 0;
  double slots = 0;
  /// Bounds of the utilization, which is uncertain because requests are counted over a limited time.
  double min_utilization = 0;
  double max_utilization = 0;
  /// Slots that are still to be given, and that can still be taken.
  double excess = 0;
  double room = 0;
  std::size_t flows = 0;
};

/// @return the mean service time of a server that was not used yet: the median of the others.
double usualServiceSeconds(const std::vector<ServerOffer>& servers) {
  std::vector<double> known;
  for (const ServerOffer& server : servers) {
    if (server.load.service_seconds > 0) {
      known.push_back(server.load.service_seconds);
    }
  }
  if (known.empty()) {
    return kDefaultServiceSeconds;
  }
  const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

/// @return the standard deviation of the demand that results from counting its requests, in slots.
double demandDeviation(const OfferedLoad& load, double averaged_seconds) {
  return averaged_seconds > 0 ? std::sqrt(load.demand * load.service_seconds / averaged_seconds) : load.demand;
}

PlannedServer plannedServer(std::size_t index, const ServerOffer& offer, double usual_seconds) {
  const OfferedLoad& load = offer.load;
  const double margin = kMaxDeviations * demandDeviation(load, offer.averaged_seconds);
  PlannedServer planned;
  planned.index = index;
  planned.seconds = load.service_seconds > 0 ? load.service_seconds : usual_seconds;
  planned.demand = load.demand;
  planned.slots = load.slots;
  planned.min_utilization = (load.demand - margin) / load.slots;
  planned.max_utilization = (load.demand + margin) / load.slots;
  return planned;
}

std::vector<PlannedServer> plannedServers(const std::vector<ServerOffer>& servers) {
  const double usual_seconds = usualServiceSeconds(servers);
  std::vector<PlannedServer> planned;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (servers[i].load.slots > 0) {
      planned.push_back(plannedServer(i, servers[i], usual_seconds));
    }
  }
  return planned;
}

/// @return the utilization of each server if all had the same: the rate of all requests over the rate that all servers
///   can run.
double plannedMean(const std::vector<PlannedServer>& servers) {
  double rate = 0;
  double capacity = 0;
  for (const PlannedServer& server : servers) {
    rate += server.demand / server.seconds;
    capacity += server.slots / server.seconds;
  }
  return capacity > 0 ? rate / capacity : 0;
}

void findExcessAndRoom(std::vector<PlannedServer>& planned, const std::vector<ServerOffer>& servers, double mean,
                       const PlanLimits& limits) {
  for (PlannedServer& server : planned) {
    const ServerOffer& offer = servers[server.index];
    const double utilization = server.demand / server.slots;
    const bool is_above = utilization >= std::max(limits.busy_utilization, mean + limits.utilization_gap);
    const double above = server.demand - mean * server.slots;
    server.excess = offer.may_give && is_above ? above : 0;
    server.room = offer.may_take ? std::max(-above, 0.0) : 0;
  }
}

/// @return the load, in slots, that arrives while all slots are in use and so waits or is refused: the demand times the
///   blocking probability by Erlang's formula B.
double unservedSlots(double demand, double slots) {
  if (demand <= 0) {
    return 0;
  }
  double loss = 1;
  for (double count = 1; count <= slots; ++count) {
    loss = demand * loss / (count + demand * loss);
  }
  return demand * loss;
}

/// Builds one plan, flow by flow.
class FlowPlanner {
 public:
  FlowPlanner(const std::vector<ServerOffer>& servers, const PlanLimits& limits, const MoveCost& cost)
      : servers_(servers), limits_(limits), cost_(cost), planned_(plannedServers(servers)) {
    plan_.mean_utilization = plannedMean(planned_);
    findExcessAndRoom(planned_, servers_, plan_.mean_utilization, limits_);
  }

  ServicePlan plan() {
    if (planned_.empty()) {
      return plan_;
    }
    for (const PlannedServer& server : planned_) {
      plan_.excess_slots += server.excess;
    }
    while (plan_.flows.size() < limits_.max_flows) {
      PlannedServer& from = *std::max_element(
          planned_.begin(), planned_.end(),
          [](const PlannedServer& left, const PlannedServer& right) { return left.excess < right.excess; });
      if (from.excess < kMinFlowSlots) {
        break;
      }
      if (!giveOnce(from)) {
        from.excess = 0;
      }
    }
    return plan_;
  }

 private:
  /// Plans a flow to the server with the largest room, counted in requests of the giving server.
  /// @return false if no flow is worth its cost.
  bool giveOnce(PlannedServer& from) {
    PlannedServer& to =
        *std::max_element(planned_.begin(), planned_.end(), [](const PlannedServer& left, const PlannedServer& right) {
          return left.room / left.seconds < right.room / right.seconds;
        });
    if (from.min_utilization <= to.max_utilization) {
      return false;
    }
    const double ratio = to.seconds / from.seconds;
    const double slots = std::min(from.excess, to.room / ratio);
    if (slots < kMinFlowSlots || from.flows >= limits_.max_flows_per_owner) {
      return false;
    }
    const double saving = savedBy(from, to, slots) - slots * (cost_.unowned_seconds + cost_.cold_seconds);
    if (saving <= 0) {
      return false;
    }
    plan_.expected_saving += saving;
    plan_.flows.push_back({from.index, to.index, slots});
    ++from.flows;
    from.excess -= slots;
    from.demand -= slots;
    to.room -= slots * ratio;
    to.demand += slots * ratio;
    return true;
  }

  /// @return slot-seconds that a flow saves. The difference is expected to last as long as it has lasted.
  double savedBy(const PlannedServer& from, const PlannedServer& to, double slots) const {
    const double taken = slots * to.seconds / from.seconds;
    const double before = unservedSlots(from.demand, from.slots) + unservedSlots(to.demand, to.slots);
    const double after = unservedSlots(from.demand - slots, from.slots) + unservedSlots(to.demand + taken, to.slots);
    return (before - after) * servers_[from.index].averaged_seconds;
  }

  const std::vector<ServerOffer>& servers_;
  const PlanLimits& limits_;
  const MoveCost& cost_;
  std::vector<PlannedServer> planned_;
  ServicePlan plan_;
};

}  // namespace

ServicePlan planService(const std::vector<ServerOffer>& servers, const PlanLimits& limits, const MoveCost& cost) {
  return FlowPlanner(servers, limits, cost).plan();
}

}  // namespace shedlever
