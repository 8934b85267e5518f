/// @file
/// Program `shedlever-soak`: runs real processes under injected random faults and exits with failure if a guarantee was
/// violated.

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include "soak/soak_runner.h"

namespace {

constexpr std::size_t kMinNodes = 4;
constexpr std::size_t kMaxNodes = 36;

}  // namespace

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  using namespace shedlever;
  // Injected faults break connections, which would otherwise end this process.
  std::signal(SIGPIPE, SIG_IGN);
  soak::SoakConfig config;
  int seconds = 60;
  std::uint64_t rounds = 1;
  config.binary_folder = std::filesystem::canonical("/proc/self/exe").parent_path().string();
  options::options_description flags(
      "shedlever-soak: runs real processes under random faults and checks their guarantees");
  flags.add_options()("help", "this text")("seed", options::value(&config.seed), "first seed")(
      "rounds", options::value(&rounds), "number of consecutive seeds")("seconds", options::value(&seconds),
                                                                        "duration of fault injection in each round")(
      "rate", options::value(&config.requests_per_second), "requests per second")(
      "keys-by-heartbeat", options::bool_switch(&config.keys_by_heartbeat), "servers receive keys by heartbeat")(
      "planned", options::bool_switch(&config.maintenance_only),
      "only maintenance, which must not interrupt any request")(
      "fatal", options::bool_switch(&config.fatal_only),
      "only requests that crash servers, sent to nodes of several services")(
      "restores", options::bool_switch(&config.restore_store), "also restore the store from backups")(
      "old-binary", options::value(&config.old_router),
      "router program of an earlier build: nodes begin with it and are replaced in turn")(
      "folder", options::value(&config.run_folder)->default_value("soak-run"),
      "for settings and logs, with a subfolder per seed");
  flags.add_options()("nodes", options::value(&config.nodes), "number of nodes, 4 to 36");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, flags), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << flags;
    return EXIT_FAILURE;
  }
  if (values.contains("help")) {
    std::cout << flags;
    return EXIT_SUCCESS;
  }
  if (config.nodes < kMinNodes || config.nodes > kMaxNodes) {
    std::cerr << "nodes: must be " << kMinNodes << " to " << kMaxNodes << "\n";
    return EXIT_FAILURE;
  }
  config.fault_duration = std::chrono::seconds(seconds);
  const std::string base = config.run_folder;
  bool all_held = true;
  for (std::uint64_t round = 0; round < rounds; ++round) {
    config.run_folder = base + "/seed-" + std::to_string(config.seed);
    std::filesystem::remove_all(config.run_folder);
    std::filesystem::create_directories(config.run_folder);
    EventLoop loop;
    soak::SoakRunner runner(loop, config);
    const std::vector<std::string> violations = runner.run();
    const check::CheckCounts counts = runner.checks().counts();
    std::cout << "seed " << config.seed << ": " << (violations.empty() ? "kept" : "BROKEN")
              << " requests=" << counts.requests << " served=" << counts.served << " refused=" << counts.refused
              << " unanswered=" << counts.unanswered << " runs=" << counts.executions
              << " grants=" << counts.acquisitions << " limits=" << runner.conditionChecks().limitsNamed()
              << " leaving=" << runner.conditionChecks().leavingServers() << std::endl;
    for (const std::string& sentence : violations) {
      std::cout << "  " << sentence << "\n";
    }
    all_held = all_held && violations.empty();
    ++config.seed;
  }
  return all_held ? EXIT_SUCCESS : EXIT_FAILURE;
}
