#pragma once

/// @file
/// Effective settings written back with every value given.

#include "shedlever/settings.h"
#include "source/core/settings/settings_json.h"

namespace shedlever {

/// @return one service with every value, back ends and tenants included.
Json effectiveService(const ServiceSettings& service);

}  // namespace shedlever
