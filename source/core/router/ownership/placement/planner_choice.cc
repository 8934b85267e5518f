#include "source/core/router/ownership/placement/planner_choice.h"

namespace shedlever {

namespace {

/// Number of servers above which plans are further apart: one more interval for each further group of this size.
constexpr std::size_t kServersPerInterval = 128;

}  // namespace

bool isPlannedAsAWhole(const OwnershipConfig& config, std::size_t servers) {
  return config.service_plan_from > 0 && servers >= config.service_plan_from;
}

Duration planInterval(const OwnershipConfig& config, std::size_t servers) {
  const std::size_t intervals = (servers + kServersPerInterval - 1) / kServersPerInterval;
  return config.service_plan_interval * static_cast<int>(intervals);
}

bool understandsPlans(const NodeRecord& record) { return record.wire_version >= kRequestPartsWireVersion; }

std::optional<NodeName> choosePlanner(const NodeName& self, const ServiceName& service,
                                      const ServerDirectory& directory) {
  std::optional<NodeName> lowest;
  for (const NodeRecord* record : directory.availableServers(service)) {
    const bool is_reached = record->node == self || directory.isConfirmedReachable(record->node);
    if (is_reached && understandsPlans(*record) && (!lowest || record->node < *lowest)) {
      lowest = record->node;
    }
  }
  return lowest;
}

}  // namespace shedlever
