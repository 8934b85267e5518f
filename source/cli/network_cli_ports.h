#pragma once

/// @file
/// The commands' ports over the network and the machine's clock.

#include "shedlever/platform_ports.h"
#include "source/cli/cli.h"

namespace shedlever {

/// @param make_store speaks the store's protocol.
/// @return makes ports for the endpoints that the options name.
CliPortsFactory makeNetworkCliPorts(StoreFactory make_store);

}  // namespace shedlever
