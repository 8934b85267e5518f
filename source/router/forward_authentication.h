#pragma once

/// @file
/// Checks the API keys of forwarded requests whose sender has not done so: a process of a build without API keys, or
/// one whose configuration has no tenants yet.

#include "shedlever/platform_ports.h"
#include "source/core/router/routes/route_table.h"

namespace shedlever {

/// Sets the request's tenant and removes its API key.
/// @return false if the request needs an API key and has no valid one, or if its route is unknown here and may need
/// one.
bool authenticateForwarded(ForwardFrame& frame, const RouteTable& routes, const ClientProtocol& protocol);

}  // namespace shedlever
