#include "source/core/router/ownership/placement/plan_follower.h"

#include <utility>

namespace shedlever {

namespace {

/// A plan is dropped after this time, because the loads that it is based on may have changed.
constexpr Duration kMaxPlanAge = std::chrono::seconds(1);

}  // namespace

void PlanFollower::report(PlacementStep step, const PlacementPlanFrame& plan, std::size_t moves) const {
  on_event_({step, plan.plan, moves});
}

bool PlanFollower::hearsPlanner(Duration silence, TimePoint now) const {
  return !planner_.empty() && now - heard_at_ <= silence;
}

void PlanFollower::onPlan(const NodeName& sender, const PlacementPlanFrame& plan, const InstanceId& self,
                          Duration silence, TimePoint now) {
  const bool has_flows = !plan.flows.empty();
  if (sender != planner_ && hearsPlanner(silence, now) && planner_ < sender) {
    if (has_flows) {
      report(PlacementStep::OtherPlanner, plan, plan.flows.size());
    }
    return;
  }
  // The plans of another planner, or of the same after its restart, have numbers of their own.
  if (sender != planner_ || !hearsPlanner(silence, now)) {
    last_plan_ = 0;
  }
  if (plan.plan < last_plan_ || (has_flows && plan.plan == last_plan_)) {
    if (has_flows) {
      report(PlacementStep::Older, plan, plan.flows.size());
    }
    return;
  }
  planner_ = sender;
  heard_at_ = now;
  if (!has_flows) {
    return;
  }
  last_plan_ = plan.plan;
  if (plan.from != self) {
    report(PlacementStep::OtherInstance, plan, plan.flows.size());
  } else if (now < visible_at_) {
    report(PlacementStep::LoadNotSettled, plan, plan.flows.size());
  } else {
    received_ = {plan, now};
  }
}

std::optional<PlacementPlanFrame> PlanFollower::takeFlows(TimePoint now) {
  const std::optional<ReceivedPlan> received = std::exchange(received_, std::nullopt);
  if (!received) {
    return std::nullopt;
  }
  if (now - received->at > kMaxPlanAge || now < visible_at_) {
    report(PlacementStep::Late, received->plan, received->plan.flows.size());
    return std::nullopt;
  }
  return received->plan;
}

}  // namespace shedlever
