#include "source/lab/check/check_command.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "source/lab/check/history_checker.h"

namespace shedlever::check {

int runCheckCommand(const std::vector<std::string>& arguments) {
  if (arguments.empty() || arguments.front() == "--help") {
    std::cout << "usage: shedlever-lab check FILE...   log files of all stand-in servers of one run\n";
    return arguments.empty() ? EXIT_FAILURE : EXIT_SUCCESS;
  }
  HistoryChecker checks;
  for (const std::string& path : arguments) {
    if (!std::filesystem::is_regular_file(path)) {
      std::cerr << path << ": is not a readable file\n";
      return EXIT_FAILURE;
    }
    checks.readLog(path);
  }
  const std::vector<std::string> violations = checks.violations();
  for (const std::string& violation : violations) {
    std::cout << violation << "\n";
  }
  const CheckCounts counts = checks.counts();
  std::cout << counts.executions << " runs, " << counts.acquisitions << " grants, " << violations.size()
            << " violated guarantees\n";
  return violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace shedlever::check
