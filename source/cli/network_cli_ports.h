#pragma once

/// @file
/// Implements the commands' ports with the network and the machine's clock.

#include "shedlever/platform_ports.h"
#include "source/cli/cli.h"

namespace shedlever {

/// @param make_store creates a store that implements the store's protocol.
/// @return a factory of ports for the endpoints given in the options.
CliPortsFactory makeNetworkCliPorts(StoreFactory make_store);

}  // namespace shedlever
