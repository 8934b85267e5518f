#pragma once

/// @file
/// `shedlever-lab sim`: simulates scenarios with variants of their settings and prints a table that compares them.

#include <string>
#include <vector>

namespace shedlever::sim {

/// @param arguments without the subcommand's name.
/// @return the process's exit status: failure for wrong usage or when a guarantee was violated.
int runSimCommand(const std::vector<std::string>& arguments);

}  // namespace shedlever::sim
