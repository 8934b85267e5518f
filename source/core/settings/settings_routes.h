#pragma once

/// @file
/// Converts the product's own settings documents into the routers' configuration.

#include "shedlever/router_config.h"
#include "shedlever/settings.h"

namespace shedlever {

/// Creates one route per service, for its path prefix and any host.
/// @param version of the configuration; must rise with each change of any document.
RouterConfig routerConfigFrom(const DeploymentSettings& settings, ConfigVersion version);

}  // namespace shedlever
