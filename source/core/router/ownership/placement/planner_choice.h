#pragma once

/// @file
/// Whether the keys of a service are placed by one plan for all its servers, how often, and by which node.

#include <cstddef>
#include <optional>

#include "source/core/router/directory/server_directory.h"
#include "source/core/router/ownership/ownership_config.h"

namespace shedlever {

/// @param servers of the service that accept requests.
/// @return whether one node plans for all owners of a service with so many servers.
bool isPlannedAsAWhole(const OwnershipConfig& config, std::size_t servers);

/// @return time between two plans; longer for many servers, as each plan asks all of them for their load.
Duration planInterval(const OwnershipConfig& config, std::size_t servers);

/// @return whether the node's process speaks a version of the frames that has plans.
bool understandsPlans(const NodeRecord& record);

/// @param self the node that asks; it can reach itself.
/// @return the node that plans: the reachable one with the lowest name whose server accepts requests and whose process
///   understands plans; std::nullopt if there is none.
std::optional<NodeName> choosePlanner(const NodeName& self, const ServiceName& service,
                                      const ServerDirectory& directory);

}  // namespace shedlever
