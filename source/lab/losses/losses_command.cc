#include "source/lab/losses/losses_command.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "source/lab/losses/loss_table.h"

namespace shedlever::losses {

namespace {

bool readLog(const std::string& path, LossTable& table) {
  std::ifstream file(path);
  if (!file) {
    return false;
  }
  const std::string node = std::filesystem::path(path).stem().string();
  for (std::string text; std::getline(file, text);) {
    if (const auto line = parseLogLine(node, text)) {
      table.add(*line);
    }
  }
  return true;
}

}  // namespace

int runLossesCommand(const std::vector<std::string>& arguments) {
  if (arguments.empty() || arguments.front() == "--help") {
    std::cout << "usage: shedlever-lab losses FILE...   the logs of all routers of one run, each named after its node\n"
                 "Counts kept lines: by second, by route and cause, and the calls to the store.\n";
    return arguments.empty() ? EXIT_FAILURE : EXIT_SUCCESS;
  }
  LossTable table;
  for (const std::string& path : arguments) {
    if (!readLog(path, table)) {
      std::cerr << path << ": can't be read\n";
      return EXIT_FAILURE;
    }
  }
  std::cout << table.bySecond().text() << "\n" << table.byCause().text() << "\n" << table.storeCalls().text();
  return EXIT_SUCCESS;
}

}  // namespace shedlever::losses
