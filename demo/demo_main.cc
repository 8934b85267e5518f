/// @file
/// Program `shedlever-demo`: a whole deployment of real processes on loopback under load; an owner's server and router
/// are killed; a summary. Ends with 0 only if nothing that must hold was broken.

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "soak/local_deployment.h"
#include "source/lab/check/run_checks.h"
#include "source/lab/load/load_report.h"
#include "source/lab/load/load_runner.h"
#include "source/net/system_sources.h"

namespace {

using namespace shedlever;

constexpr std::size_t kServersOfEach = 3;
constexpr Duration kStartTime = std::chrono::seconds(6);
constexpr Duration kBeforeKill = std::chrono::seconds(4);
constexpr Duration kLoadLength = std::chrono::seconds(16);
constexpr Duration kProgramCap = std::chrono::seconds(20);
constexpr Duration kKeepStep = std::chrono::milliseconds(100);
constexpr double kRate = 200;

void say(const std::string& line) { std::cout << "demo: " << line << std::endl; }

double milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

load::LoadConfig loadOf(const soak::LocalDeployment& deployment,
                        const std::vector<std::unique_ptr<soak::LocalNode>>& nodes) {
  load::LoadConfig config;
  for (const auto& node : nodes) {
    config.gateways.push_back(node->clients);
  }
  config.services = {{ServiceName("records"), "/records/", false}, {ServiceName("bookings"), "/bookings/", true}};
  config.tenants = {{TenantName("amber"), "demo-credential-amber", 2}, {TenantName("blue"), "demo-credential-blue", 1}};
  config.rate = kRate;
  config.duration = kLoadLength;
  config.seed = deployment.config().seed;
  return config;
}

/// Counts what must not be.
class Rules {
 public:
  void mustBeZero(const std::string& what, std::size_t count) {
    std::cout << "  " << (count == 0 ? "ok    " : "BROKEN") << " " << what << ": " << count << "\n";
    broken_ += count == 0 ? 0 : 1;
  }
  bool allHold() const { return broken_ == 0; }

 private:
  int broken_ = 0;
};

/// @return idempotency keys under which more than one request ran.
std::size_t doubleRuns(const std::vector<load::RequestRecord>& records, const check::HistoryChecker& checks) {
  std::map<std::string, std::size_t> runs;
  for (const load::RequestRecord& record : records) {
    if (!record.idempotency_key.empty()) {
      runs[record.idempotency_key.value] += checks.countExecutions(record.id.value);
    }
  }
  std::size_t twice = 0;
  for (const auto& [key, count] : runs) {
    twice += count > 1 ? 1 : 0;
  }
  return twice;
}

std::size_t notRunButRan(const std::vector<load::RequestRecord>& records, const check::HistoryChecker& checks) {
  std::size_t wrong = 0;
  for (const load::RequestRecord& record : records) {
    const bool told = record.outcome == load::CallerOutcome::NotRun && !record.id.empty();
    wrong += told && checks.countExecutions(record.id.value) > 0 ? 1 : 0;
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
            << checks.counts().executions << "\n\nwhat must hold\n";
  Rules rules;
  for (const std::string& sentence : checks.violations()) {
    std::cout << "  " << sentence << "\n";
  }
  rules.mustBeZero("broken promises in the servers' logs", checks.violations().size());
  rules.mustBeZero("idempotency keys that ran twice", doubleRuns(records, checks));
  rules.mustBeZero("told not run but ran", notRunButRan(records, checks));
  rules.mustBeZero("wrong answers", report.tally.wrong());
  rules.mustBeZero("cut answers", report.tally.truncated());
  const bool served = report.tally.count(load::CallerOutcome::Answered) * 10 > report.tally.total() * 8;
  rules.mustBeZero("less than eight of ten requests answered", served ? 0 : 1);
  return rules.allHold();
}

int runDemo(const std::string& settings, const std::string& folder, bool keys_by_heartbeat) {
  EventLoop loop;
  soak::LocalDeploymentConfig config;
  config.binaries = std::filesystem::canonical("/proc/self/exe").parent_path().string();
  config.folder = folder;
  config.interface_kind = "shedlever";
  config.work_ms = 10;
  config.keys_by_heartbeat = keys_by_heartbeat;
  soak::LocalDeployment deployment(loop, config);
  say("starting the store, six servers with a router beside each, keys by " +
      std::string(keys_by_heartbeat ? "heartbeat" : "request") + "; logs in " + folder);
  deployment.startStore();
  const std::string store = toString(deployment.store());
  if (deployment.runProgram("shedlever", {"config", "apply", settings, "--platform", store}, kProgramCap) != 0) {
    say("settings were not accepted; see " + folder + "/shedlever.log");
    return EXIT_FAILURE;
  }
  for (std::size_t i = 0; i < kServersOfEach; ++i) {
    deployment.addNode("records", true);
    deployment.addNode("bookings", false);
  }
  deployment.runFor(kStartTime);
  const BootClockImpl clock;
  load::LoadRunner runner(loop, clock, loadOf(deployment, deployment.nodes()));
  say("load: " + std::to_string(static_cast<int>(kRate)) + " requests a second");
  runner.start();
  deployment.runFor(kBeforeKill);
  soak::LocalNode& victim = *deployment.nodes().front();
  say("SIGKILL to the router and the server of " + victim.name + ", an owner of keys");
  victim.router_process->signal(SIGKILL);
  victim.server_process->signal(SIGKILL);
  while (!runner.done()) {
    deployment.runFor(kKeepStep);
    deployment.keepRunning();
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
