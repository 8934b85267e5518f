#pragma once

/// @file
/// Converts effective settings to JSON with every value present.

#include "shedlever/settings.h"
#include "source/core/settings/settings_json.h"

namespace shedlever {

/// @return all values of one service, including its back ends and tenants.
Json effectiveService(const ServiceSettings& service);

}  // namespace shedlever
