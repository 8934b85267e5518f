#pragma once

/// @file
/// The command `shedlever explain`.

#include "source/cli/cli_context.h"

namespace shedlever {

/// Traces one request through router logs. The first operand is the request id, the others are log files, each named
/// after its node.
/// @return Done, Failed when no log line has the id, Findings when a file can't be read.
ExitCode runExplain(CliContext& context);

}  // namespace shedlever
