#pragma once

/// @file
/// `shedlever-lab sim`: plays scenarios and variants of their settings, and prints a table to compare them.

#include <string>
#include <vector>

namespace shedlever::sim {

/// @param arguments without the subcommand's name.
/// @return the process's exit status: failure for wrong usage, and when a promise was broken.
int runSimCommand(const std::vector<std::string>& arguments);

}  // namespace shedlever::sim
