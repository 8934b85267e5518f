#pragma once

/// @file
/// Waits until document versions are active on the routers.

#include <map>

#include "source/cli/cli_context.h"

namespace shedlever {

/// Polls the routers given with `--operator` until each has at least the given version of every document active, or the
/// time limit of `--wait-ms` expires.
/// @return Done, or Failed after printing which routers are not up to date.
ExitCode waitUntilActive(CliContext& context, const std::map<DocumentName, SettingsVersion>& versions);

}  // namespace shedlever
