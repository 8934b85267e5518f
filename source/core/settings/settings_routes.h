#pragma once

/// @file
/// From the product's own settings to the routing configuration that processes work with.

#include "shedlever/router_config.h"
#include "shedlever/settings.h"

namespace shedlever {

/// Each service gets one route, under its path prefix and for any host.
/// @param version of the configuration; rises with each change of any document.
RouterConfig routerConfigFrom(const DeploymentSettings& settings, ConfigVersion version);

}  // namespace shedlever
