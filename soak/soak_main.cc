/// @file
/// Program `shedlever-soak`: real processes under random faults from outside. Ends by itself.

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include "soak/soak_world.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  using namespace shedlever;
  // Connections break all the time here.
  std::signal(SIGPIPE, SIG_IGN);
  soak::SoakConfig config;
  int seconds = 60;
  std::uint64_t rounds = 1;
  config.binaries = std::filesystem::canonical("/proc/self/exe").parent_path().string();
  options::options_description flags("shedlever-soak: real processes under random faults, promises checked");
  flags.add_options()("help", "this text")("seed", options::value(&config.seed), "first seed")(
      "rounds", options::value(&rounds), "how many seeds, one after the other")("seconds", options::value(&seconds),
                                                                                "of faults in each round")(
      "rate", options::value(&config.requests_per_second), "requests a second")(
      "keys-by-heartbeat", options::bool_switch(&config.keys_by_heartbeat), "servers take keys by heartbeat")(
      "planned", options::bool_switch(&config.planned_only),
      "only planned work, of which no request may notice anything")(
      "fatal", options::bool_switch(&config.fatal_only),
      "only requests under which servers end, brought at machines of several services")(
      "restores", options::bool_switch(&config.restores), "beside all else the store comes back from copies")(
      "folder", options::value(&config.folder)->default_value("soak-run"), "for settings and logs; a folder a seed");
  options::variables_map given;
  try {
    options::store(options::parse_command_line(argc, argv, flags), given);
    options::notify(given);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << flags;
    return EXIT_FAILURE;
  }
  if (given.contains("help")) {
    std::cout << flags;
    return EXIT_SUCCESS;
  }
  config.faults_for = std::chrono::seconds(seconds);
  const std::string base = config.folder;
  bool all_kept = true;
  for (std::uint64_t round = 0; round < rounds; ++round) {
    config.folder = base + "/seed-" + std::to_string(config.seed);
    std::filesystem::remove_all(config.folder);
    std::filesystem::create_directories(config.folder);
    EventLoop loop;
    soak::SoakWorld world(loop, config);
    const std::vector<std::string> broken = world.run();
    const check::CheckCounts counts = world.checks().counts();
    std::cout << "seed " << config.seed << ": " << (broken.empty() ? "kept" : "BROKEN")
              << " requests=" << counts.requests << " served=" << counts.served << " refused=" << counts.refused
              << " unanswered=" << counts.unanswered << " runs=" << counts.executions
              << " grants=" << counts.acquisitions << std::endl;
    for (const std::string& sentence : broken) {
      std::cout << "  " << sentence << "\n";
    }
    all_kept = all_kept && broken.empty();
    ++config.seed;
  }
  return all_kept ? EXIT_SUCCESS : EXIT_FAILURE;
}
