#pragma once

/// @file
/// Waits until versions are in force on all routers named.

#include <map>

#include "source/cli/cli_context.h"

namespace shedlever {

/// Asks each router until it has at least the version given of each document in force, or `--wait-ms` is over.
/// @return Done, or Failed with a message that says what is missing.
ExitCode waitUntilActive(CliContext& context, const std::map<DocumentName, SettingsVersion>& versions);

}  // namespace shedlever
