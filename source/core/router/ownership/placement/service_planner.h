#pragma once

/// @file
/// Plans for all owners of a service, at the node that is chosen for it.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "shedlever/placement_frames.h"
#include "source/core/router/directory/server_directory.h"
#include "source/core/router/ownership/owner_table.h"
#include "source/core/router/ownership/ownership_config.h"
#include "source/core/router/ownership/placement/load_history.h"
#include "source/core/router/ownership/placement/placement_event.h"
#include "source/core/router/ownership/placement/service_plan.h"

namespace shedlever {

/// In each interval it asks all servers for their load with a plan that has no flows, and plans when they have had time
/// to answer. Its state is lost with the process; the next planner starts without it.
class ServicePlanner {
 public:
  struct Ports {
    /// Sends a plan to a node, which may be this one.
    std::function<void(const NodeName&, const PlacementPlanFrame&)> send;
    std::function<void(const PlacementEvent&)> on_event;
  };

  /// @param config, directory, table must outlive the planner; `table` is the newest known table of the service.
  ServicePlanner(NodeName self, ServiceName service, const OwnershipConfig& config, const ServerDirectory& directory,
                 const OwnerTable& table, Ports ports);

  /// @param load offered to this node's server.
  void setOwnLoad(const OfferedLoad& load) { own_load_ = load; }

  /// Does what is due, if this node plans for the service.
  void tick(TimePoint now);

  /// @return whether a service with the servers known now is planned as a whole.
  bool isActive() const;
  /// @return time after which a planner that is not heard is no longer followed.
  Duration silenceLimit() const;

 private:
  struct Candidate {
    const NodeRecord* record = nullptr;
    ServerOffer offer;
  };

  /// The last flows of an owner.
  struct GivenLoad {
    /// Slots in use before the flows, and slots to be given.
    double demand = 0;
    double slots = 0;
    /// Number of consecutive plans after which the owner's load had hardly changed.
    int without_effect = 0;
  };

  bool plansHere() const;
  void askForLoads(const std::vector<const NodeRecord*>& servers);
  void plan(const std::vector<const NodeRecord*>& servers, TimePoint now);
  /// @return the servers with a recent load.
  std::vector<Candidate> candidates(const std::vector<const NodeRecord*>& servers, TimePoint now);
  std::optional<OfferedLoad> loadOf(const NodeRecord& record, TimePoint now) const;
  bool isSettling(const InstanceId& server, TimePoint now) const;
  /// Records an owner's flows. @return intervals for which the owner takes no part in further plans.
  int recordGiven(const InstanceId& owner, double demand, double slots);
  void sendFlows(const std::vector<Candidate>& candidates, const ServicePlan& plan, TimePoint now);

  NodeName self_;
  ServiceName service_;
  const OwnershipConfig& config_;
  const ServerDirectory& directory_;
  const OwnerTable& table_;
  Ports ports_;
  OfferedLoad own_load_;
  LoadHistory history_;
  std::uint64_t last_plan_ = 0;
  /// When to ask for loads again.
  TimePoint next_question_{};
  /// When to plan with the answers to the last question; none if that was done.
  std::optional<TimePoint> plan_at_;
  /// Servers whose load may not show the last plan's moves yet, and until when.
  std::map<InstanceId, TimePoint> settling_until_;
  std::map<InstanceId, GivenLoad> given_;
};

}  // namespace shedlever
