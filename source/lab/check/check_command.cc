#include "source/lab/check/check_command.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "source/lab/check/history_checker.h"

namespace shedlever::check {

int runCheckCommand(const std::vector<std::string>& arguments) {
  if (arguments.empty() || arguments.front() == "--help") {
    std::cout << "usage: shedlever-lab check FILE...   the logs of all servers of one run\n";
    return arguments.empty() ? EXIT_FAILURE : EXIT_SUCCESS;
  }
  HistoryChecker checks;
  for (const std::string& path : arguments) {
    if (!std::filesystem::is_regular_file(path)) {
      std::cerr << path << ": can't be read\n";
      return EXIT_FAILURE;
    }
    checks.readLog(path);
  }
  const std::vector<std::string> broken = checks.violations();
  for (const std::string& sentence : broken) {
    std::cout << sentence << "\n";
  }
  const CheckCounts counts = checks.counts();
  std::cout << counts.executions << " runs, " << counts.acquisitions << " grants, " << broken.size()
            << " broken promises\n";
  return broken.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace shedlever::check
