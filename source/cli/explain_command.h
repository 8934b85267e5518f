#pragma once

/// @file
/// `shedlever explain`.

#include "source/cli/cli_context.h"

namespace shedlever {

/// Shows the way of one request through logs of routers: the first word is its id, the others are files, each named
/// after its node.
/// @return Done, Failed when no line has the id, Findings when a file can't be read.
ExitCode runExplain(CliContext& context);

}  // namespace shedlever
