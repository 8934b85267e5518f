#pragma once

/// @file
/// `shedlever-lab load`: sends open-loop requests to routers and reports the outcomes.

#include <string>
#include <vector>

namespace shedlever::load {

/// Runs the command. Prints configuration errors to standard error and the report to standard output or a file.
/// @param arguments those after the subcommand's name.
/// @return the process's exit status: 0 if the load ran and no response was wrong or truncated.
int runLoadCommand(const std::vector<std::string>& arguments);

}  // namespace shedlever::load
