#include "source/lab/sim/simulation.h"

#include <algorithm>
#include <functional>

#include "source/lab/sim/ownership_world.h"

namespace shedlever::sim {

namespace {

/// Before faults begin, all keys are divided and granted.
constexpr Duration kWarmUp = std::chrono::seconds(6);
constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr double kLostShare = 0.33;
constexpr double kLateShare = 0.2;
constexpr double kLateOrderShare = 0.5;
constexpr double kFullOccupancy = 1.2;
constexpr int kBusyRequests = 20;

/// Something that happens to one node at one time of the play.
struct Step {
  Duration at{};
  std::function<void(OwnershipWorld&)> act;
};

using NodeAction = void (OwnershipWorld::*)(std::size_t);

void addPair(std::vector<Step>& steps, const Fault& fault, std::size_t node, NodeAction begin, NodeAction end) {
  steps.push_back({fault.at, [node, begin](OwnershipWorld& world) { (world.*begin)(node); }});
  steps.push_back({fault.at + fault.length, [node, end](OwnershipWorld& world) { (world.*end)(node); }});
}

template <class Faults>
void addSetting(std::vector<Step>& steps, const Fault& fault, std::size_t node,
                void (OwnershipWorld::*set)(std::size_t, const Faults&), const Faults& faults) {
  steps.push_back({fault.at, [node, set, faults](OwnershipWorld& world) { (world.*set)(node, faults); }});
  steps.push_back({fault.at + fault.length, [node, set](OwnershipWorld& world) { (world.*set)(node, Faults{}); }});
}

/// What happens to the store itself, whatever the nodes.
void addStoreFault(std::vector<Step>& steps, const Fault& fault) {
  if (fault.kind == FaultKind::StoreRestored) {
    steps.push_back({fault.at, [](OwnershipWorld& world) { world.copyStore(); }});
    steps.push_back({fault.at + fault.length, [](OwnershipWorld& world) { world.restoreStore(); }});
  }
}

void addFault(std::vector<Step>& steps, const Fault& fault, std::size_t node) {
  switch (fault.kind) {
    case FaultKind::KillNode:
      addPair(steps, fault, node, &OwnershipWorld::killNode, &OwnershipWorld::restartNode);
      return;
    case FaultKind::PauseNode:
      addPair(steps, fault, node, &OwnershipWorld::pauseNode, &OwnershipWorld::resumeNode);
      return;
    case FaultKind::KillServer:
      addPair(steps, fault, node, &OwnershipWorld::killServer, &OwnershipWorld::startServer);
      return;
    case FaultKind::DrainServer:
      addPair(steps, fault, node, &OwnershipWorld::drainServer, &OwnershipWorld::startServer);
      return;
    case FaultKind::SilenceServer:
      addSetting(steps, fault, node, &OwnershipWorld::setOrderFaults, OrderFaults{true, 0});
      return;
    case FaultKind::LateOrders:
      addSetting(steps, fault, node, &OwnershipWorld::setOrderFaults, OrderFaults{false, kLateOrderShare});
      return;
    case FaultKind::StoreDown:
      addSetting(steps, fault, node, &OwnershipWorld::setStoreFaults, StoreFaults{true, 0, 0});
      return;
    case FaultKind::StoreLossy:
      addSetting(steps, fault, node, &OwnershipWorld::setStoreFaults, StoreFaults{false, kLostShare, kLateShare});
      return;
    case FaultKind::StoreRestored:
      return;
    case FaultKind::Busy:
      steps.push_back({fault.at, [node](OwnershipWorld& world) {
                         world.setOccupancy(node, kFullOccupancy);
                         world.addWorkOnAllKeys(node, kBusyRequests);
                       }});
      steps.push_back({fault.at + fault.length, [node](OwnershipWorld& world) { world.setOccupancy(node, 0); }});
      return;
  }
}

std::vector<Step> stepsOf(const Scenario& scenario) {
  std::vector<Step> steps;
  for (const Fault& fault : scenario.faults) {
    addStoreFault(steps, fault);
    for (const std::size_t node : fault.nodes) {
      addFault(steps, fault, node);
    }
  }
  std::stable_sort(steps.begin(), steps.end(), [](const Step& left, const Step& right) { return left.at < right.at; });
  return steps;
}

/// Follows who serves each key from step to step.
class ServingMeter {
 public:
  explicit ServingMeter(const std::vector<std::optional<std::size_t>>& first) : last_(first), gaps_(first.size()) {}

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

  void tell(SimulationMeasures& measures) const {
    const auto keys = static_cast<Duration::rep>(last_.size());
    measures.unavailable_mean = unserved_ / keys;
    measures.unavailable_longest = longest_;
    measures.churn = static_cast<double>(moves_) / static_cast<double>(keys);
  }

 private:
  std::vector<std::optional<std::size_t>> last_;
  std::vector<Duration> gaps_;
  Duration unserved_{};
  Duration longest_{};
  std::size_t moves_ = 0;
};

}  // namespace

SimulationMeasures simulate(const Scenario& scenario, std::uint64_t seed) {
  OwnershipWorld world(scenario.nodes, seed, scenario.ownership);
  world.run(kWarmUp);
  const std::vector<Step> steps = stepsOf(scenario);
  ServingMeter meter(world.servingNodes());
  auto next = steps.begin();
  for (Duration passed{}; passed < scenario.length; passed += kStep) {
    while (next != steps.end() && next->at <= passed) {
      next->act(world);
      ++next;
    }
    world.run(kStep);
    meter.add(world.servingNodes());
  }
  SimulationMeasures measures;
  meter.tell(measures);
  measures.store_changes = world.storeChanges();
  measures.violations = world.violations();
  return measures;
}

}  // namespace shedlever::sim
