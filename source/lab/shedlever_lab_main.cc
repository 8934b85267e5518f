/// @file
/// Program `shedlever-lab`: tools for load tests, simulation and checking.

#include <array>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "source/lab/check/check_command.h"
#include "source/lab/load/load_command.h"
#include "source/lab/sim/sim_command.h"

namespace {

struct Subcommand {
  const char* name;
  const char* summary;
  int (*run)(const std::vector<std::string>& arguments);
};

constexpr std::array<Subcommand, 3> kSubcommands = {
    {{"check", "check the logs of the stand-in servers of one run", shedlever::check::runCheckCommand},
     {"load", "send open-loop requests to routers", shedlever::load::runLoadCommand},
     {"sim", "simulate ownership scenarios in virtual time", shedlever::sim::runSimCommand}}};

void printUsage(std::ostream& out) {
  out << "usage: shedlever-lab SUBCOMMAND [FLAGS]; run SUBCOMMAND --help for details\n";
  for (const Subcommand& subcommand : kSubcommands) {
    out << "  " << subcommand.name << "  " << subcommand.summary << "\n";
  }
  out << "  --version  print the version\n";
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const std::string_view word = arguments.empty() ? std::string_view() : std::string_view(arguments.front());
  if (word == "--version") {
    std::cout << "shedlever-lab " << SHEDLEVER_VERSION << "\n";
    return EXIT_SUCCESS;
  }
  for (const Subcommand& subcommand : kSubcommands) {
    if (word == subcommand.name) {
      return subcommand.run({arguments.begin() + 1, arguments.end()});
    }
  }
  const bool help = word == "--help";
  printUsage(help ? std::cout : std::cerr);
  return help ? EXIT_SUCCESS : EXIT_FAILURE;
}
