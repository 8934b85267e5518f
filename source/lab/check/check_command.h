#pragma once

/// @file
/// `shedlever-lab check`: checks logs of stand-in servers.

#include <string>
#include <vector>

namespace shedlever::check {

/// @param arguments log files of all servers of one run.
/// @return the process's exit status: failure for wrong usage, and when a promise was broken.
int runCheckCommand(const std::vector<std::string>& arguments);

}  // namespace shedlever::check
