#pragma once

/// @file
/// The commands that call routers: `status`, `owners`, `quarantine`, `drain`.

#include <optional>

#include "source/cli/cli_context.h"
#include "source/core/operators/node_status.h"

namespace shedlever {

/// Prints the status of each router given with `--operator`.
ExitCode runStatus(CliContext& context);

/// Prints the key ranges that the routers own.
ExitCode runOwners(CliContext& context);

/// Prints the requests that the routers have quarantined, with the server instances that crashed while processing them.
ExitCode runQuarantine(CliContext& context);

/// Drains the server of the router given with `--operator`.
ExitCode runDrain(CliContext& context);

/// @return the router's status; nothing without a valid response.
std::optional<NodeStatus> fetchStatus(CliPorts& ports, const Endpoint& router);

}  // namespace shedlever
