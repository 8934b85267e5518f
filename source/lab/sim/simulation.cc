#include "source/lab/sim/simulation.h"

#include <algorithm>
#include <functional>

#include "source/lab/sim/simulated_cluster.h"

namespace shedlever::sim {

namespace {

/// Long enough to assign and grant all keys before the first fault.
constexpr Duration kWarmUp = std::chrono::seconds(6);
constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr double kLostAnswerProbability = 0.33;
constexpr double kLateWriteProbability = 0.2;
constexpr double kLateCommandProbability = 0.5;
constexpr double kFullOccupancy = 1.2;
constexpr double kLimitedOccupancy = 3.0;
constexpr int kBusyRequests = 20;

/// An action that is applied to the cluster at a time after the warm-up.
struct ScheduledAction {
  Duration at{};
  std::function<void(SimulatedCluster&)> act;
};

using NodeAction = std::function<void(SimulatedCluster&, std::size_t node)>;

void addPair(std::vector<ScheduledAction>& steps, const Fault& fault, std::size_t node, const NodeAction& begin,
             const NodeAction& end) {
  steps.push_back({fault.at, [node, begin](SimulatedCluster& cluster) { begin(cluster, node); }});
  steps.push_back({fault.at + fault.duration, [node, end](SimulatedCluster& cluster) { end(cluster, node); }});
}

/// The server refuses connections, which a request notices at once.
void refuseConnections(SimulatedCluster& cluster, std::size_t node) {
  cluster.refuseConnections(node);
  cluster.connectToServer(node);
}

void leave(SimulatedCluster& cluster, std::size_t node) {
  cluster.drainServer(node);
  refuseConnections(cluster, node);
}

void startBesideEarlierInstance(SimulatedCluster& cluster, std::size_t node) {
  cluster.startUnreportedServer(node);
  cluster.reportServer(node);
}

void replaceWithoutReport(SimulatedCluster& cluster, std::size_t node) {
  cluster.killServer(node);
  cluster.startUnreportedServer(node);
}

template <class Faults>
void addSetting(std::vector<ScheduledAction>& steps, const Fault& fault, std::size_t node,
                void (SimulatedCluster::*set)(std::size_t, const Faults&), const Faults& faults) {
  steps.push_back({fault.at, [node, set, faults](SimulatedCluster& cluster) { (cluster.*set)(node, faults); }});
  steps.push_back(
      {fault.at + fault.duration, [node, set](SimulatedCluster& cluster) { (cluster.*set)(node, Faults{}); }});
}

/// Adds the actions of faults that affect the store rather than nodes.
void addStoreFault(std::vector<ScheduledAction>& steps, const Fault& fault) {
  if (fault.kind == FaultKind::StoreRestored) {
    steps.push_back({fault.at, [](SimulatedCluster& cluster) { cluster.copyStore(); }});
    steps.push_back({fault.at + fault.duration, [](SimulatedCluster& cluster) { cluster.restoreStore(); }});
  }
}

/// The requests for the keys of the node's server occupy this multiple of what the server takes.
void addLoad(std::vector<ScheduledAction>& steps, const Fault& fault, std::size_t node, double occupancy) {
  steps.push_back({fault.at, [node, occupancy](SimulatedCluster& cluster) {
                     cluster.setOccupancy(node, occupancy);
                     cluster.addRequestsOnSampledKeys(node, kBusyRequests);
                   }});
  steps.push_back({fault.at + fault.duration, [node](SimulatedCluster& cluster) { cluster.setOccupancy(node, 0); }});
}

void addFault(std::vector<ScheduledAction>& steps, const Fault& fault, std::size_t node) {
  switch (fault.kind) {
    case FaultKind::KillNode:
      addPair(steps, fault, node, &SimulatedCluster::killNode, &SimulatedCluster::restartNode);
      return;
    case FaultKind::PauseNode:
      addPair(steps, fault, node, &SimulatedCluster::pauseNode, &SimulatedCluster::resumeNode);
      return;
    case FaultKind::KillServer:
      addPair(steps, fault, node, &SimulatedCluster::killServer, &SimulatedCluster::startServer);
      return;
    case FaultKind::DrainServer:
      addPair(steps, fault, node, &SimulatedCluster::drainServer, &SimulatedCluster::startServer);
      return;
    case FaultKind::RefuseServer:
      addPair(steps, fault, node, refuseConnections, &SimulatedCluster::startServer);
      return;
    case FaultKind::LeaveServer:
      addPair(steps, fault, node, leave, &SimulatedCluster::startServer);
      return;
    case FaultKind::OverlapServers:
      addPair(steps, fault, node, startBesideEarlierInstance, &SimulatedCluster::killEarlierServers);
      return;
    case FaultKind::ReportLate:
      addPair(steps, fault, node, replaceWithoutReport, &SimulatedCluster::reportServer);
      return;
    case FaultKind::SilenceServer:
      addSetting(steps, fault, node, &SimulatedCluster::setServerFaults, ServerFaults{true, 0});
      return;
    case FaultKind::LateCommands:
      addSetting(steps, fault, node, &SimulatedCluster::setServerFaults, ServerFaults{false, kLateCommandProbability});
      return;
    case FaultKind::StoreDown:
      addSetting(steps, fault, node, &SimulatedCluster::setStoreFaults, StoreFaults{true, 0, 0});
      return;
    case FaultKind::StoreLossy:
      addSetting(steps, fault, node, &SimulatedCluster::setStoreFaults,
                 StoreFaults{false, kLostAnswerProbability, kLateWriteProbability});
      return;
    case FaultKind::StoreRestored:
      return;
    case FaultKind::Busy:
      addLoad(steps, fault, node, kFullOccupancy);
      return;
    case FaultKind::LimitServer:
      addLoad(steps, fault, node, kLimitedOccupancy);
      return;
  }
}

std::vector<ScheduledAction> stepsOf(const Scenario& scenario) {
  std::vector<ScheduledAction> steps;
  for (const Fault& fault : scenario.faults) {
    addStoreFault(steps, fault);
    for (const std::size_t node : fault.nodes) {
      addFault(steps, fault, node);
    }
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const ScheduledAction& left, const ScheduledAction& right) { return left.at < right.at; });
  return steps;
}

/// Measures from step to step which node serves each key.
class AvailabilityMeter {
 public:
  explicit AvailabilityMeter(const std::vector<std::optional<std::size_t>>& first)
      : last_(first), gaps_(first.size()) {}

  void add(const std::vector<std::optional<std::size_t>>& now) {
    for (std::size_t key = 0; key < now.size(); ++key) {
      if (!now[key]) {
        unserved_ += kStep;
        gaps_[key] += kStep;
        longest_ = std::max(longest_, gaps_[key]);
        continue;
      }
      gaps_[key] = {};
      moves_ += last_[key] && *last_[key] != *now[key] ? 1 : 0;
      last_[key] = now[key];
    }
  }

  void addTo(SimulationResult& result) const {
    const auto keys = static_cast<Duration::rep>(last_.size());
    result.unavailable_mean = unserved_ / keys;
    result.unavailable_longest = longest_;
    result.churn = static_cast<double>(moves_) / static_cast<double>(keys);
  }

 private:
  std::vector<std::optional<std::size_t>> last_;
  std::vector<Duration> gaps_;
  Duration unserved_{};
  Duration longest_{};
  std::size_t moves_ = 0;
};

}  // namespace

SimulationResult simulate(const Scenario& scenario, std::uint64_t seed) {
  SimulatedCluster cluster(scenario.nodes, seed, scenario.ownership);
  cluster.run(kWarmUp);
  const std::vector<ScheduledAction> steps = stepsOf(scenario);
  AvailabilityMeter meter(cluster.servingNodes());
  auto next = steps.begin();
  for (Duration passed{}; passed < scenario.duration; passed += kStep) {
    while (next != steps.end() && next->at <= passed) {
      next->act(cluster);
      ++next;
    }
    cluster.run(kStep);
    meter.add(cluster.servingNodes());
  }
  SimulationResult result;
  meter.addTo(result);
  result.store_changes = cluster.storeChanges();
  result.violations = cluster.violations();
  return result;
}

}  // namespace shedlever::sim
