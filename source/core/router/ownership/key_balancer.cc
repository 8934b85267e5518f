#include "source/core/router/ownership/key_balancer.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

/// Demand and flows are sent in hundredths of a slot.
constexpr double kHundredths = 100.0;

}  // namespace

KeyBalancer::KeyBalancer(const OwnershipConfig& config, const ServerDirectory& directory,
                         const OwnerCandidates& candidates, const OwnerTable& table, const KeyLoad& key_load)
    : config_(config),
      directory_(directory),
      candidates_(candidates),
      table_(table),
      key_load_(key_load),
      planner_(key_load.meter(), config) {}

BalanceStep KeyBalancer::nextStep(const InstanceId& self, TimePoint now) {
  BalanceStep step;
  if (std::optional<KeyTransfer> planned = plannedTransfer(self, now)) {
    next_step_ = now + config_.balance_interval;
    step.moves = std::move(*planned);
    return step;
  }
  if (now < next_step_) {
    return step;
  }
  next_step_ = now + config_.balance_interval;
  const std::vector<OwnerLocation> healthier = candidates_.healthierTargets(failure_ratio_, now);
  if (!healthier.empty()) {
    step.moves = moveAll(self, healthier, now);
    return step;
  }
  const std::vector<OwnedRange> owned = table_.ownedBy(self);
  if (owned.size() > config_.max_ranges_per_owner && table_.hasMergeableRanges(self)) {
    step.merge_ranges = true;
    return step;
  }
  if (planner_silence_ && plans_.hearsPlanner(*planner_silence_, now)) {
    return step;
  }
  for (const PlannedMove& move : planner_.plan(plannerInput(owned, now), now)) {
    step.moves.pieces.push_back(move.keys);
    step.moves.to.push_back(move.to);
  }
  return step;
}

std::optional<KeyTransfer> KeyBalancer::plannedTransfer(const InstanceId& self, TimePoint now) {
  const std::optional<PlacementPlanFrame> plan = plans_.takeFlows(now);
  if (!plan || !planner_silence_) {
    return std::nullopt;
  }
  const BalanceInput input = plannerInput(table_.ownedBy(self), now);
  FlowInput flows{input.owned, input.own_load, {}, input.targets};
  for (const PlannedFlow& flow : plan->flows) {
    const OwnerLocation to{flow.to, flow.node};
    const bool is_target = std::any_of(input.targets.begin(), input.targets.end(),
                                       [&to](const BalanceTarget& target) { return target.location == to; });
    if (is_target) {
      flows.flows.push_back({to, flow.hundredths_of_slots / kHundredths});
    }
  }
  if (flows.flows.empty()) {
    plans_.report(PlacementStep::TargetsNotPresent, *plan, plan->flows.size());
    return std::nullopt;
  }
  KeyTransfer transfer;
  for (const PlannedMove& move : chooseKeys(key_load_.meter(), flows, now)) {
    transfer.pieces.push_back(move.keys);
    transfer.to.push_back(move.to);
  }
  if (transfer.pieces.empty()) {
    plans_.report(PlacementStep::NoKeysFit, *plan, plan->flows.size());
    return std::nullopt;
  }
  plans_.report(PlacementStep::Given, *plan, transfer.pieces.size());
  return transfer;
}

KeyTransfer KeyBalancer::moveAll(const InstanceId& self, const std::vector<OwnerLocation>& to, TimePoint now) const {
  if (to.empty()) {
    return {};
  }
  return {key_load_.split(table_.ownedBy(self), to.size(), now), to};
}

BalanceInput KeyBalancer::plannerInput(const std::vector<OwnedRange>& owned, TimePoint now) const {
  BalanceInput input;
  input.owned = key_load_.withoutGains(owned, config_.gain_settle, now);
  input.own_load = offered_load_;
  input.rotation = candidates_.rank();
  for (const OwnerLocation& location : candidates_.targets(now)) {
    const bool reported = directory_.load(location.node, now) != nullptr;
    input.targets.push_back({location, offeredTo(location, now), reported});
  }
  return input;
}

OfferedLoad KeyBalancer::offeredTo(const OwnerLocation& location, TimePoint now) const {
  constexpr double kMilliseconds = 1000.0;
  // Without a recent load report little load is assumed.
  OfferedLoad offered{0, offered_load_.slots, offered_load_.service_seconds};
  const ServerLoad* reported = directory_.load(location.node, now);
  if (reported != nullptr && reported->slots > 0) {
    const bool owns = !table_.ownedBy(location.instance).empty();
    offered.slots = reported->slots;
    offered.demand = owns ? reported->demand_hundredths / kHundredths : 0.0;
    offered.service_seconds = reported->mean_service_ms / kMilliseconds;
  }
  return offered;
}

}  // namespace shedlever
