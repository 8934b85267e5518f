#include "source/core/router/ownership/owner_candidates.h"

#include <algorithm>
#include <utility>

namespace shedlever {

OwnerCandidates::OwnerCandidates(NodeName self, ServiceName service, const OwnershipConfig& config,
                                 const ServerDirectory& directory, const OwnerTable& table)
    : self_(std::move(self)), service_(std::move(service)), config_(config), directory_(directory), table_(table) {}

std::vector<OwnerLocation> OwnerCandidates::available() const {
  std::vector<OwnerLocation> locations;
  for (const NodeRecord* record : directory_.availableServers(service_)) {
    locations.push_back({record->instance, record->node});
  }
  return locations;
}

std::size_t OwnerCandidates::rank() const {
  const auto ready = directory_.availableServers(service_);
  return static_cast<std::size_t>(
      std::count_if(ready.begin(), ready.end(), [&](const NodeRecord* record) { return record->node < self_; }));
}

std::vector<OwnerLocation> OwnerCandidates::targets(TimePoint now) const {
  std::vector<const NodeRecord*> ready = directory_.availableServers(service_);
  std::erase_if(ready, [&](const NodeRecord* record) {
    return record->node == self_ || !directory_.isConfirmedReachable(record->node);
  });
  const auto is_healthy = [&](const NodeRecord* record) {
    return directory_.failureRatio(record->node, now) < config_.max_failure_ratio;
  };
  if (std::any_of(ready.begin(), ready.end(), is_healthy)) {
    std::erase_if(ready, [&](const NodeRecord* record) { return !is_healthy(record); });
  }
  struct Candidate {
    OwnerLocation location;
    double load;
  };
  std::vector<Candidate> candidates;
  for (const NodeRecord* record : ready) {
    const OwnerLocation location{record->instance, record->node};
    candidates.push_back({location, loadOf(location, now)});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) { return left.load < right.load; });
  std::vector<OwnerLocation> locations;
  locations.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    locations.push_back(candidate.location);
  }
  return locations;
}

std::vector<OwnerLocation> OwnerCandidates::unlimitedTargets(TimePoint now) const {
  const std::vector<OwnerLocation> all = targets(now);
  std::vector<OwnerLocation> unlimited = all;
  std::erase_if(unlimited, [this](const OwnerLocation& location) { return directory_.namesLimit(location.node); });
  return unlimited.empty() ? all : unlimited;
}

std::vector<OwnerLocation> OwnerCandidates::healthierTargets(double own_failure_ratio, TimePoint now) const {
  if (own_failure_ratio < config_.max_failure_ratio) {
    return {};
  }
  std::vector<OwnerLocation> healthier = targets(now);
  std::erase_if(healthier, [&](const OwnerLocation& location) {
    return directory_.failureRatio(location.node, now) > own_failure_ratio - config_.failure_ratio_gap;
  });
  return healthier;
}

double OwnerCandidates::loadOf(const OwnerLocation& location, TimePoint now) const {
  // A server without keys is considered idle, whatever it reported last.
  const bool owns = !table_.ownedBy(location.instance).empty();
  return owns ? directory_.occupancy(location.node, now) : 0.0;
}

}  // namespace shedlever
