#pragma once

/// @file
/// Commands that ask routers: `status`, `owners`, `quarantine`, `drain`.

#include <optional>

#include "source/cli/cli_context.h"
#include "source/core/operators/node_status.h"

namespace shedlever {

/// Shows what each router named by `--operator` tells of itself.
ExitCode runStatus(CliContext& context);

/// Shows the ranges of keys that the routers own.
ExitCode runOwners(CliContext& context);

/// Shows the requests that the routers keep from servers, and under which ends of servers.
ExitCode runQuarantine(CliContext& context);

/// Empties the server beside the one router named.
ExitCode runDrain(CliContext& context);

/// @return the router's status; nothing when it does not answer, or with something else.
std::optional<NodeStatus> fetchStatus(CliPorts& ports, const Endpoint& router);

}  // namespace shedlever
