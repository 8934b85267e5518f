/// @file
/// Program `shedlever-demo`: runs a complete deployment of real processes on loopback under load, kills the server and
/// the router of a node that owns keys, and prints a summary. Exits with 0 only if no guarantee was violated.

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "soak/local_deployment.h"
#include "source/lab/check/history_checker.h"
#include "source/lab/load/load_report.h"
#include "source/lab/load/load_runner.h"
#include "source/net/system_clock_and_random.h"

namespace {

using namespace shedlever;

constexpr std::size_t kNodesPerService = 3;
constexpr Duration kStartupDuration = std::chrono::seconds(6);
constexpr Duration kTimeBeforeKill = std::chrono::seconds(4);
constexpr Duration kLoadDuration = std::chrono::seconds(16);
constexpr Duration kProgramTimeLimit = std::chrono::seconds(20);
constexpr Duration kRestartCheckInterval = std::chrono::milliseconds(100);
constexpr double kRequestsPerSecond = 200;

void print(const std::string& line) { std::cout << "demo: " << line << std::endl; }

double milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

load::LoadConfig makeLoadConfig(const soak::LocalDeployment& deployment,
                                const std::vector<std::unique_ptr<soak::LocalNode>>& nodes) {
  load::LoadConfig config;
  for (const auto& node : nodes) {
    config.gateways.push_back(node->clients);
  }
  config.services = {{ServiceName("records"), "/records/", false}, {ServiceName("bookings"), "/bookings/", true}};
  config.tenants = {{TenantName("amber"), "demo-credential-amber", 2}, {TenantName("blue"), "demo-credential-blue", 1}};
  config.rate = kRequestsPerSecond;
  config.duration = kLoadDuration;
  config.seed = deployment.config().seed;
  return config;
}

/// Prints the results of checks and counts failed ones.
class ResultChecks {
 public:
  void expectZero(const std::string& what, std::size_t count) {
    std::cout << "  " << (count == 0 ? "ok    " : "BROKEN") << " " << what << ": " << count << "\n";
    failed_ += count == 0 ? 0 : 1;
  }
  bool allPassed() const { return failed_ == 0; }

 private:
  int failed_ = 0;
};

/// @return the number of idempotency keys under which servers executed requests more than once.
std::size_t countDuplicateExecutions(const std::vector<load::RequestRecord>& records,
                                     const check::HistoryChecker& checks) {
  std::map<std::string, std::size_t> runs;
  for (const load::RequestRecord& record : records) {
    if (!record.idempotency_key.empty()) {
      runs[record.idempotency_key.value] += checks.countExecutions(record.id.value);
    }
  }
  std::size_t duplicates = 0;
  for (const auto& [key, count] : runs) {
    duplicates += count > 1 ? 1 : 0;
  }
  return duplicates;
}

/// @return the number of requests that were executed although their callers were notified that they were not.
std::size_t countExecutedReportedAsNotRun(const std::vector<load::RequestRecord>& records,
                                          const check::HistoryChecker& checks) {
  std::size_t wrong = 0;
  for (const load::RequestRecord& record : records) {
    const bool reported_not_run = record.outcome == load::CallerOutcome::NotRun && !record.id.empty();
    wrong += reported_not_run && checks.countExecutions(record.id.value) > 0 ? 1 : 0;
  }
  return wrong;
}

bool printSummary(const std::vector<load::RequestRecord>& records, soak::LocalDeployment& deployment) {
  check::HistoryChecker checks;
  for (const auto& node : deployment.nodes()) {
    checks.readLog(node->server_log);
  }
  const load::LoadReport report = load::makeReport(records, load::kSlowAnswerThreshold);
  std::cout << "\n"
            << load::reportText(report) << "\nlongest unavailable time of a key, ms: proved "
            << milliseconds(report.unavailable.longest_lower_bound) << ", at most "
            << milliseconds(report.unavailable.longest_upper_bound) << "\nruns on servers "
            << checks.counts().executions << "\n\nguarantees\n";
  ResultChecks results;
  for (const std::string& sentence : checks.violations()) {
    std::cout << "  " << sentence << "\n";
  }
  results.expectZero("violations in the servers' logs", checks.violations().size());
  results.expectZero("idempotency keys executed more than once", countDuplicateExecutions(records, checks));
  results.expectZero("reported as not run but executed", countExecutedReportedAsNotRun(records, checks));
  results.expectZero("wrong responses", report.tally.wrong());
  results.expectZero("truncated responses", report.tally.truncated());
  const bool served = report.tally.count(load::CallerOutcome::Answered) * 10 > report.tally.total() * 8;
  results.expectZero("less than 80% of requests answered", served ? 0 : 1);
  return results.allPassed();
}

int runDemo(const std::string& settings, const std::string& folder, bool keys_by_heartbeat) {
  EventLoop loop;
  soak::LocalDeploymentConfig config;
  config.binary_folder = std::filesystem::canonical("/proc/self/exe").parent_path().string();
  config.run_folder = folder;
  config.interface_kind = "shedlever";
  config.request_duration_ms = 10;
  config.keys_by_heartbeat = keys_by_heartbeat;
  soak::LocalDeployment deployment(loop, config);
  print("starting the store and six servers, each with a router; keys by " +
        std::string(keys_by_heartbeat ? "heartbeat" : "request") + "; logs in " + folder);
  deployment.startStore();
  const std::string store = toString(deployment.store());
  if (deployment.runProgram("shedlever", {"config", "apply", settings, "--platform", store}, kProgramTimeLimit) != 0) {
    print("the settings were rejected; see " + folder + "/shedlever.log");
    return EXIT_FAILURE;
  }
  for (std::size_t i = 0; i < kNodesPerService; ++i) {
    deployment.addNode("records", true);
    deployment.addNode("bookings", false);
  }
  deployment.runFor(kStartupDuration);
  const BootTimeClock clock;
  load::LoadRunner runner(loop, clock, makeLoadConfig(deployment, deployment.nodes()));
  print("load: " + std::to_string(static_cast<int>(kRequestsPerSecond)) + " requests per second");
  runner.start();
  deployment.runFor(kTimeBeforeKill);
  soak::LocalNode& victim = *deployment.nodes().front();
  print("SIGKILL to the router and the server of " + victim.name + ", an owner of keys");
  victim.router_process->signal(SIGKILL);
  deployment.killServer(victim);
  while (!runner.done()) {
    deployment.runFor(kRestartCheckInterval);
    deployment.restartExitedProcesses();
  }
  return printSummary(runner.records(), deployment) ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() != 1 || arguments.front().starts_with("--")) {
    std::cerr << "usage: shedlever-demo SETTINGS-FOLDER (in the sources: demo/settings)\n";
    return EXIT_FAILURE;
  }
  const std::string folder = "demo-run";
  std::filesystem::remove_all(folder);
  for (const bool keys_by_heartbeat : {false, true}) {
    const std::string run_folder = folder + (keys_by_heartbeat ? "/heartbeat" : "/request");
    std::filesystem::create_directories(run_folder);
    const int status = runDemo(arguments.front(), run_folder, keys_by_heartbeat);
    if (status != EXIT_SUCCESS) {
      return status;
    }
  }
  return EXIT_SUCCESS;
}
