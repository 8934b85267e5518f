#pragma once

/// @file
/// `shedlever-lab check`: checks the logs of stand-in servers for violated guarantees.

#include <string>
#include <vector>

namespace shedlever::check {

/// @param arguments log files of all servers of one run.
/// @return the process's exit status: failure for wrong usage or when a guarantee was violated.
int runCheckCommand(const std::vector<std::string>& arguments);

}  // namespace shedlever::check
