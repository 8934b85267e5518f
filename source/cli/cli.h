#pragma once

/// @file
/// The operators' command line program `shedlever`: selects and runs a command.

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "source/cli/cli_arguments.h"
#include "source/cli/cli_ports.h"

namespace shedlever {

/// Creates the ports for the endpoints given in the options.
using CliPortsFactory = std::function<std::unique_ptr<CliPorts>(const CliOptions&)>;

/// @param arguments the command line without the program name.
/// @param version the version of the program.
/// @return the exit code of the program.
ExitCode runCli(const std::vector<std::string>& arguments, const std::string& version,
                const CliPortsFactory& make_ports, std::ostream& out, std::ostream& err);

}  // namespace shedlever
