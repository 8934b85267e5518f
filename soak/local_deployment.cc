#include "soak/local_deployment.h"

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

namespace shedlever::soak {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr Duration kStoreStartDelay = milliseconds(200);

template <class Value>
std::unique_ptr<Value> orNull(leaf::result<std::unique_ptr<Value>> result) {
  return result ? std::move(result.value()) : nullptr;
}

bool failedByItself(const test::ChildExit& end) { return end.status != 0 && end.signal != SIGKILL; }

}  // namespace

LocalDeployment::LocalDeployment(EventLoop& loop, LocalDeploymentConfig config)
    : loop_(loop), config_(std::move(config)), random_(config_.seed), ports_(loop_, config_.seed) {}

LocalDeployment::~LocalDeployment() = default;

void LocalDeployment::runFor(Duration duration) {
  loop_.runUntil([] { return false; }, duration);
}

void LocalDeployment::startStore() {
  store_endpoint_ = ports_.next();
  store_ =
      orNull(test::ChildProcess::start({config_.binary_folder + "/standin-metadata",
                                        {"--listen", toString(store_endpoint_), "--seed", std::to_string(config_.seed)},
                                        logFileOf("store")}));
  runFor(kStoreStartDelay);
}

LocalNode& LocalDeployment::addNode(const std::string& service, bool divided) {
  nodes_.push_back(std::make_unique<LocalNode>());
  LocalNode& node = *nodes_.back();
  assignName(node);
  node.divided_by_key = divided;
  // Alternates, so that each run covers restarts with the old id and with a new one.
  node.keeps_server_id = nodes_.size() % 2 == 0;
  node.service = service;
  for (Endpoint* endpoint : {&node.clients, &node.peers, &node.readiness, &node.reports, &node.server}) {
    *endpoint = ports_.next();
  }
  node.store_link = orNull(FaultProxy::listen(loop_, store_endpoint_));
  node.peer_link = orNull(FaultProxy::listen(loop_, node.peers));
  node.runs_old_router = !config_.old_router.empty();
  startServer(node);
  startRouter(node);
  return node;
}

void LocalDeployment::assignName(LocalNode& node) {
  node.name = "node-" + std::to_string(server_logs_.size());
  node.settings_file = config_.run_folder + "/" + node.name + ".json";
  node.server_log = logFileOf(node.name + "-server");
  server_logs_.push_back(node.server_log);
}

void LocalDeployment::replaceNode(LocalNode& node, const std::string& service, bool divided) {
  if (node.router_process) {
    node.router_process->signal(SIGKILL);
  }
  killServer(node);
  for (const auto& server : node.earlier_servers) {
    kill(node, *server);
  }
  assignName(node);
  node.service = service;
  node.divided_by_key = divided;
}

void LocalDeployment::addToServerLog(const LocalNode& node, const std::string& event) const {
  std::ofstream(node.server_log, std::ios::app)
      << std::to_string(clock_.now().time_since_epoch().count()) + " " + event + "\n";
}

void LocalDeployment::kill(const LocalNode& node, test::ChildProcess& server) {
  server.signal(SIGKILL);
  addToServerLog(node, "server killed " + std::to_string(server.pid()));
}

void LocalDeployment::killServer(LocalNode& node) {
  if (node.server_process) {
    kill(node, *node.server_process);
  }
}

void LocalDeployment::restartServerAtOnce(LocalNode& node, unsigned first_report_ms) {
  killServer(node);
  // Waits for the end, so that the address is free.
  node.server_process.reset();
  node.first_report_ms = first_report_ms;
  startServer(node);
}

void LocalDeployment::startSuccessor(LocalNode& node, unsigned first_report_ms) {
  node.earlier_servers.push_back(std::move(node.server_process));
  node.first_report_ms = first_report_ms;
  startServer(node);
}

void LocalDeployment::pauseRouter(LocalNode& node) {
  if (node.router_process) {
    node.router_process->signal(SIGSTOP);
    node.router_paused = true;
  }
}

void LocalDeployment::pauseServer(LocalNode& node) {
  if (node.server_process) {
    node.server_process->signal(SIGSTOP);
    node.server_paused = true;
  }
}

void LocalDeployment::resume(const LocalNode& node, test::ChildProcess& process, const std::string& event) {
  // Stated before and after the signal, because commands may be executed in between.
  addToServerLog(node, event);
  process.signal(SIGCONT);
  addToServerLog(node, event);
}

void LocalDeployment::resumeRouter(LocalNode& node) {
  if (node.router_process && std::exchange(node.router_paused, false)) {
    resume(node, *node.router_process, "router resumed");
  }
}

void LocalDeployment::resumeServer(LocalNode& node) {
  if (!node.server_process || !std::exchange(node.server_paused, false)) {
    return;
  }
  if (config_.keys_by_heartbeat) {
    // Holds are counted from when the heartbeat was sent, so that a pause does not lengthen them.
    node.server_process->signal(SIGCONT);
  } else {
    resume(node, *node.server_process, "server resumed");
  }
}

void LocalDeployment::startRouter(LocalNode& node) {
  node.router_paused = false;
  json settings = {{"interface", config_.interface_kind},
                   {"node", {{"name", node.name}, {"zone", "z"}, {"service", node.service}}},
                   {"listen",
                    {{"clients", toString(node.clients)},
                     {"peers", toString(node.peers)},
                     {"peers_reached_at", toString(node.peer_link->endpoint())},
                     {"readiness", toString(node.readiness)},
                     {"reports", toString(node.reports)}}},
                   {"connect", {{"server", toString(node.server)}, {"store", toString(node.store_link->endpoint())}}},
                   {"ownership", {{"grants", config_.keys_by_heartbeat ? "heartbeat" : "request"}}},
                   {"retry", {{"ratio", 0.2}, {"slack", 50}}},
                   {"stop", {{"grace", "4s"}, {"clients_leave", "1s"}}}};
  if (config_.machine_memory_mb > 0) {
    settings["machine"] = {{"memory_mb", config_.machine_memory_mb}};
  }
  std::ofstream(node.settings_file) << settings.dump(1);
  const std::string program = node.runs_old_router ? config_.old_router : config_.binary_folder + "/shedleverd";
  node.router_process =
      orNull(test::ChildProcess::start({program, {"--settings", node.settings_file}, logFileOf(node.name)}));
}

void LocalDeployment::startServer(LocalNode& node) {
  node.server_paused = false;
  std::vector<std::string> arguments = {"--listen",
                                        toString(node.server),
                                        "--reports-to",
                                        toString(node.reports),
                                        "--service",
                                        node.service,
                                        "--log",
                                        node.server_log,
                                        "--work-ms",
                                        std::to_string(config_.request_duration_ms),
                                        "--seed",
                                        std::to_string(random_()),
                                        "--first-report-ms",
                                        std::to_string(std::exchange(node.first_report_ms, 0))};
  if (node.divided_by_key) {
    arguments.emplace_back("--divided");
  }
  if (!config_.fatal_path.empty()) {
    arguments.insert(arguments.end(), {"--fatal-path", config_.fatal_path});
  }
  if (node.keeps_server_id) {
    arguments.insert(arguments.end(), {"--id", "i-of-" + node.name});
  }
  if (config_.keys_by_heartbeat) {
    arguments.emplace_back("--keys-by-heartbeat");
  }
  node.server_process = orNull(test::ChildProcess::start(
      {config_.binary_folder + "/standin-keys", arguments, config_.run_folder + "/" + node.name + "-server.out"}));
}

std::vector<std::string> LocalDeployment::restartExitedProcesses() {
  std::vector<std::string> failures;
  for (const auto& node : nodes_) {
    if (node->router_process) {
      if (const auto end = node->router_process->poll()) {
        if (failedByItself(*end)) {
          failures.push_back(node->name + ": router exited unexpectedly, status " + std::to_string(end->status) +
                             ", signal " + std::to_string(end->signal));
        }
        node->router_process.reset();
      }
    }
    if (!node->router_process && node->restart_router) {
      startRouter(*node);
    }
    std::erase_if(node->earlier_servers, [](const auto& server) { return server->poll().has_value(); });
    if (node->server_process && node->server_process->poll()) {
      node->server_process.reset();
    }
    if (!node->server_process && node->restart_server) {
      startServer(*node);
    }
  }
  return failures;
}

int LocalDeployment::runProgram(const std::string& program, const std::vector<std::string>& arguments, Duration limit) {
  const auto child =
      orNull(test::ChildProcess::start({config_.binary_folder + "/" + program, arguments, logFileOf(program)}));
  const auto end = child ? child->waitForExit(loop_, limit) : std::nullopt;
  return end ? end->status : -1;
}

}  // namespace shedlever::soak
