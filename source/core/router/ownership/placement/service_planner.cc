#include "source/core/router/ownership/placement/service_planner.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>
#include <utility>

#include "source/core/router/ownership/placement/planner_choice.h"

namespace shedlever {

namespace {

constexpr double kHundredths = 100.0;
constexpr double kMillisecondsPerSecond = 1000.0;
/// Time for the servers to answer with their load.
constexpr Duration kAnswerTime = std::chrono::milliseconds(300);
/// Minimum share of the servers with a recent load; with fewer the mean of all is too uncertain to plan.
constexpr double kMinKnownShare = 0.75;
/// Each flow makes its keys unavailable for a moment and can add ranges to the table.
constexpr std::size_t kMaxFlowsPerOwner = 8;
/// A plan may have this many flows, or one for two servers if that is more.
constexpr std::size_t kMinFlowsPerPlan = 16;
/// Intervals for which the ends of a flow take no part in further plans, until their loads show the moves.
constexpr int kSettlingIntervals = 2;
/// An owner that has given away less than this share of its last flows may have no keys that fit, for example only a
/// single hot key.
constexpr double kMinGivenShare = 0.5;
/// The interval after which such an owner gets flows again doubles each time, at most this often.
constexpr int kMaxDoublings = 3;
/// Intervals without a plan after which owners plan for themselves.
constexpr int kSilentIntervals = 3;
/// Moved keys have no owner for about 0.3 s: a release, a write of the table and a grant. No cold work is assumed.
constexpr MoveCost kMoveCost{0.3, 0};

}  // namespace

ServicePlanner::ServicePlanner(NodeName self, ServiceName service, const OwnershipConfig& config,
                               const ServerDirectory& directory, const OwnerTable& table, Ports ports)
    : self_(std::move(self)),
      service_(std::move(service)),
      config_(config),
      directory_(directory),
      table_(table),
      ports_(std::move(ports)) {}

bool ServicePlanner::isActive() const {
  return isPlannedAsAWhole(config_, directory_.availableServers(service_).size());
}

Duration ServicePlanner::silenceLimit() const {
  return planInterval(config_, directory_.availableServers(service_).size()) * kSilentIntervals;
}

bool ServicePlanner::plansHere() const { return isActive() && choosePlanner(self_, service_, directory_) == self_; }

void ServicePlanner::tick(TimePoint now) {
  const bool is_due = now >= next_question_ || (plan_at_ && now >= *plan_at_);
  if (!is_due) {
    return;
  }
  if (!plansHere()) {
    next_question_ = now + config_.service_plan_interval;
    plan_at_.reset();
    history_.clear();
    given_.clear();
    return;
  }
  const std::vector<const NodeRecord*> servers = directory_.availableServers(service_);
  if (plan_at_ && now >= *plan_at_) {
    plan_at_.reset();
    plan(servers, now);
  } else if (now >= next_question_) {
    next_question_ = now + planInterval(config_, servers.size());
    plan_at_ = now + kAnswerTime;
    askForLoads(servers);
  }
}

void ServicePlanner::askForLoads(const std::vector<const NodeRecord*>& servers) {
  for (const NodeRecord* record : servers) {
    if (understandsPlans(*record) && (record->node == self_ || directory_.isConfirmedReachable(record->node))) {
      ports_.send(record->node, {service_, record->instance, last_plan_, {}});
    }
  }
}

std::optional<OfferedLoad> ServicePlanner::loadOf(const NodeRecord& record, TimePoint now) const {
  OfferedLoad load = own_load_;
  if (record.node != self_) {
    const ServerLoad* reported = directory_.load(record.node, now);
    if (reported == nullptr) {
      return std::nullopt;
    }
    load.slots = reported->slots;
    load.demand = reported->demand_hundredths / kHundredths;
    load.service_seconds = reported->mean_service_ms / kMillisecondsPerSecond;
  }
  if (table_.ownedBy(record.instance).empty()) {
    load.demand = 0;
  }
  return load.slots > 0 ? std::optional<OfferedLoad>(load) : std::nullopt;
}

bool ServicePlanner::isSettling(const InstanceId& server, TimePoint now) const {
  const auto found = settling_until_.find(server);
  return found != settling_until_.end() && now < found->second;
}

std::vector<ServicePlanner::Candidate> ServicePlanner::candidates(const std::vector<const NodeRecord*>& servers,
                                                                  TimePoint now) {
  std::vector<Candidate> candidates;
  std::set<InstanceId> present;
  for (const NodeRecord* record : servers) {
    const std::optional<OfferedLoad> load = loadOf(*record, now);
    if (!load) {
      continue;
    }
    present.insert(record->instance);
    const AveragedLoad& averaged = history_.add(record->instance, *load, now);
    const bool is_settling = isSettling(record->instance, now);
    const bool is_healthy =
        record->node == self_ || (directory_.isConfirmedReachable(record->node) &&
                                  directory_.failureRatio(record->node, now) < config_.max_failure_ratio);
    candidates.push_back(
        {record,
         {averaged.load, averaged.seconds, !is_settling && understandsPlans(*record), !is_settling && is_healthy}});
  }
  history_.keepOnly(present);
  std::erase_if(given_, [&](const auto& entry) { return !present.contains(entry.first); });
  return candidates;
}

void ServicePlanner::plan(const std::vector<const NodeRecord*>& servers, TimePoint now) {
  std::erase_if(settling_until_, [now](const auto& entry) { return now >= entry.second; });
  const std::vector<Candidate> known = candidates(servers, now);
  if (static_cast<double>(known.size()) < kMinKnownShare * static_cast<double>(servers.size())) {
    return;
  }
  std::vector<ServerOffer> offers;
  offers.reserve(known.size());
  for (const Candidate& candidate : known) {
    offers.push_back(candidate.offer);
  }
  const PlanLimits limits{config_.busy_occupancy, config_.occupancy_gap, kMaxFlowsPerOwner,
                          std::max(kMinFlowsPerPlan, known.size() / 2)};
  const ServicePlan plan = planService(offers, limits, kMoveCost);
  if (!plan.flows.empty()) {
    sendFlows(known, plan, now);
  }
}

int ServicePlanner::recordGiven(const InstanceId& owner, double demand, double slots) {
  GivenLoad& last = given_[owner];
  const bool had_effect = demand < last.demand - last.slots * kMinGivenShare;
  const bool is_first = last.slots == 0;
  const int without_effect = is_first || had_effect ? 0 : std::min(last.without_effect + 1, kMaxDoublings);
  last = {demand, slots, without_effect};
  return kSettlingIntervals << without_effect;
}

void ServicePlanner::sendFlows(const std::vector<Candidate>& candidates, const ServicePlan& plan, TimePoint now) {
  ++last_plan_;
  const Duration interval = planInterval(config_, candidates.size());
  std::map<std::size_t, PlacementPlanFrame> frames;
  std::map<std::size_t, double> given;
  for (const LoadFlow& flow : plan.flows) {
    const NodeRecord& from = *candidates[flow.from].record;
    const NodeRecord& to = *candidates[flow.to].record;
    PlacementPlanFrame& frame =
        frames.try_emplace(flow.from, PlacementPlanFrame{service_, from.instance, last_plan_, {}}).first->second;
    frame.flows.push_back({to.instance, to.node, static_cast<std::uint32_t>(std::lround(flow.slots * kHundredths))});
    given[flow.from] += flow.slots;
    settling_until_[to.instance] = now + interval * kSettlingIntervals;
    history_.forget(to.instance);
  }
  for (const auto& [from, slots] : given) {
    const InstanceId& owner = candidates[from].record->instance;
    const int intervals = recordGiven(owner, candidates[from].offer.load.demand, slots);
    settling_until_[owner] = now + interval * intervals;
    history_.forget(owner);
  }
  std::ostringstream detail;
  detail.precision(3);
  detail << "owners=" << frames.size() << " servers=" << candidates.size() << " mean=" << plan.mean_utilization
         << " excess_slots=" << plan.excess_slots << " saves_slot_seconds=" << plan.expected_saving;
  ports_.on_event({PlacementStep::Planned, last_plan_, plan.flows.size(), detail.str()});
  for (const auto& [from, frame] : frames) {
    ports_.send(candidates[from].record->node, frame);
  }
}

}  // namespace shedlever
