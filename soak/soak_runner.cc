#include "soak/soak_runner.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "source/net/http_headers.h"

namespace shedlever::soak {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::ptrdiff_t kMinNodesPerService = 2;
/// One in this many faults is the permanent loss of a node.
constexpr std::uint64_t kNodeReplacementOdds = 12;
constexpr Duration kWarmUpDuration = seconds(6);
constexpr Duration kRecoveryDuration = seconds(14);
constexpr Duration kRecoveryMeasurementDuration = seconds(4);
/// Minimum ratio of served requests while recovery is measured.
constexpr double kMinServedRatio = 0.97;
constexpr const char* kSearch = "search";
constexpr const char* kOrders = "orders";

/// A draining server is killed after this time; its accepted requests have ended by then.
constexpr Duration kServerDrainDuration = milliseconds(4500);
/// How long a server that says that it is leaving may still get requests; the routers' default.
constexpr Duration kDrainDuration = milliseconds(2000);
constexpr Duration kRouteTimeout = milliseconds(1500);
constexpr Duration kRequestDeadline = milliseconds(2000);
/// Of routes and requests during maintenance: exceeds two holds of a peer link, so that no request may end because of
/// them.
constexpr Duration kMaintenanceRequestTimeout = milliseconds(4000);
/// Clients wait this much longer than a request's deadline.
constexpr Duration kClientTimeoutMargin = milliseconds(500);

constexpr std::uint64_t kMaxEventIntervalMs = 2500;
/// Shorter than for other events, because clients retry a failed request soon.
constexpr std::uint64_t kMaxFatalRequestIntervalMs = 500;
constexpr int kOk = 200;

std::int64_t toMilliseconds(Duration duration) { return std::chrono::duration_cast<milliseconds>(duration).count(); }

}  // namespace

SoakRunner::SoakRunner(EventLoop& loop, SoakConfig config)
    : loop_(loop),
      config_(std::move(config)),
      random_(config_.seed),
      condition_checks_(kDrainDuration),
      deployment_(loop_, {.seed = config_.seed,
                          .binary_folder = config_.binary_folder,
                          .run_folder = config_.run_folder,
                          .keys_by_heartbeat = config_.keys_by_heartbeat,
                          .fatal_path = config_.fatal_only ? kFatalPath : "",
                          .old_router = config_.old_router}),
      restores_(loop_, config_.seed, restoreCallbacks()),
      peer_link_holds_(loop_, config_.seed, deployment_,
                       {.stop_router = [this](LocalNode& node) { stopRouter(node); },
                        .log_fault = [this](const std::string& what) { logFault(what); }}),
      server_conditions_(loop_, config_.seed, deployment_,
                         {.set_condition = [this](const LocalNode& node,
                                                  const std::string& body) { post(node.server, "/condition", body); },
                          .log_fault = [this](const std::string& what) { logFault(what); }}),
      leaving_servers_(loop_, config_.seed, deployment_, !config_.maintenance_only,
                       {.set_condition = [this](const LocalNode& node,
                                                const std::string& body) { post(node.server, "/condition", body); },
                        .log_fault = [this](const std::string& what) { logFault(what); }}),
      router_upgrades_(loop_, config_.seed, deployment_,
                       {.stop_router = [this](LocalNode& node) { stopRouter(node); },
                        .log_fault = [this](const std::string& what) { logFault(what); }}) {}

SoakRunner::~SoakRunner() = default;

void SoakRunner::logFault(const std::string& what) {
  std::ofstream(config_.run_folder + "/faults.log", std::ios::app)
      << clock_.now().time_since_epoch().count() << " " << what << "\n";
}

Duration SoakRunner::routeTimeout() const {
  return config_.maintenance_only ? kMaintenanceRequestTimeout : kRouteTimeout;
}

Duration SoakRunner::requestDeadline() const {
  return config_.maintenance_only ? kMaintenanceRequestTimeout : kRequestDeadline;
}

Duration SoakRunner::clientTimeout() const { return requestDeadline() + kClientTimeoutMargin; }

std::string SoakRunner::undividedService(std::size_t node) const {
  if (!config_.fatal_only) {
    return kOrders;
  }
  const std::vector<std::string> services = {kOrders, "maps", "checks"};
  return services[node % services.size()];
}

void SoakRunner::startAll() {
  deployment_.startStore();
  HttpClientConfig store_client;
  store_client.server = deployment_.store();
  store_control_ = std::make_unique<HttpClient>(loop_, store_client);
  writeConfig();
  for (std::size_t i = 0; i < config_.nodes; ++i) {
    const bool divided = i < config_.nodes / 2;
    const LocalNode& node = deployment_.addNode(divided ? kSearch : undividedService(i), divided);
    HttpClientConfig client;
    client.server = node.clients;
    client.max_connections = 64;
    client.preserve_host = true;
    client.allow_close_delimited = true;
    clients_.push_back(std::make_unique<HttpClient>(loop_, client));
  }
}

StoreRestores::Callbacks SoakRunner::restoreCallbacks() {
  StoreRestores::Callbacks callbacks;
  callbacks.set_faults = [this](const std::string& body) {
    store_control_->send({"POST", "/faults", {}, body}, seconds(1), [](const HttpExchangeResult&) {});
  };
  callbacks.rewrite_config = [this] {
    writeConfigAgain();
    if (config_.maintenance_only) {
      writeConfig();
      probe_.start();
    }
  };
  callbacks.log_fault = [this](const std::string& what) { logFault(what); };
  return callbacks;
}

void SoakRunner::writeConfig() {
  const bool first = ++config_version_ == 1;
  probe_.setExpectedVersion(config_version_);
  sendConfig(first ? "POST" : "PUT", first ? "/objects/config" : "/objects/config/main");
}

void SoakRunner::writeConfigAgain() { sendConfig("PUT", "/objects/config/main"); }

void SoakRunner::sendConfig(const std::string& method, const std::string& path) {
  const std::string timeout = std::to_string(toMilliseconds(routeTimeout())) + "ms";
  const auto route = [&timeout](const char* name, const char* prefix, const char* kind, const char* service) {
    return json{{"name", name},  {"host", "h"},        {"pathPrefix", prefix},
                {"kind", kind},  {"timeout", timeout}, {"targetLatency", "300ms"},
                {"priority", 1}, {"service", service}, {"maxAttempts", 2}};
  };
  char version[16];
  std::snprintf(version, sizeof(version), "%08llx", static_cast<unsigned long long>(config_version_));
  const std::string newest = routePrefixOfVersion(config_version_);
  const json spec = {
      {"version", version},
      {"routes",
       {route("search", "/search/", "idempotent", kSearch), route("orders", "/orders/", "non_idempotent", kOrders),
        route("keyed-orders", "/keyed/", "non_idempotent", kSearch),
        route("newest", newest.c_str(), "idempotent", kOrders)}},
      {"services",
       {{{"name", kSearch}, {"healthPath", "/health"}, {"maxConnections", 100}, {"sharded", true}},
        {{"name", kOrders}, {"healthPath", "/health"}, {"maxConnections", 100}}}},
      {"limits", json::object()}};
  const json object = {{"metadata", {{"name", "main"}}}, {"spec", spec}};
  store_control_->send({method, path, {}, object.dump()}, seconds(2), [](const HttpExchangeResult&) {});
}

void SoakRunner::post(const Endpoint& to, const std::string& path, const std::string& body) {
  HttpClientConfig config;
  config.server = to;
  auto client = std::make_shared<HttpClient>(loop_, config);
  client->send({"POST", path, {}, body}, seconds(1),
               [this, client](const HttpExchangeResult&) { loop_.post([client] {}); });
}

// Load generation.

void SoakRunner::generateLoad() {
  if (!generating_load_) {
    return;
  }
  sendRandomRequest();
  loop_.runAfter(std::chrono::microseconds(1'000'000 / config_.requests_per_second), [this] { generateLoad(); });
}

std::string SoakRunner::processOf(const LocalNode& node) {
  return node.router_process ? node.name + ":" + std::to_string(node.router_process->pid()) : "";
}

void SoakRunner::checkLeaving(const std::string& process, const HttpResponse& response) {
  if (headerValue(response.headers, "Server-Leaving") == "1") {
    condition_checks_.addLeavingResponse(process, std::string(headerValue(response.headers, "X-Instance-Id")),
                                         clock_.now());
  }
}

void SoakRunner::sendRandomRequest() {
  const std::size_t node = randomBelow(clients_.size());
  HttpClient& client = *clients_[node];
  check::ClientRecord record;
  record.id = "r" + std::to_string(++last_request_);
  const std::uint64_t kind = randomBelow(3);
  record.at_most_once = kind != 0;
  const std::string deadline = std::to_string(toMilliseconds(requestDeadline()));
  HttpRequest request;
  request.method = kind == 0 ? "GET" : "POST";
  request.target = kind == 0 ? "/search/x" : (kind == 1 ? "/orders/x" : "/keyed/x");
  request.headers = {{"Host", "h"}, {"X-Request-Id", record.id}, {"X-Request-Deadline", deadline}};
  if (kind != 1) {
    request.headers.push_back({"X-Shard-Key", std::to_string(randomBelow(65536))});
  }
  const bool is_measured = measuring_recovery_;
  const auto sent_at = std::chrono::steady_clock::now();
  const std::string process = processOf(*deployment_.nodes()[node]);
  condition_checks_.addRequest(record.id, process, clock_.now());
  client.send(std::move(request), clientTimeout(),
              [this, record, is_measured, sent_at, process](HttpExchangeResult exchange) mutable {
                record.timed_out = std::chrono::steady_clock::now() - sent_at >= routeTimeout();
                if (exchange.status == HttpExchangeStatus::Complete) {
                  checkLeaving(process, exchange.response);
                  record.status = exchange.response.status;
                  record.body = std::move(exchange.response.body);
                }
                if (is_measured) {
                  ++recovery_requests_;
                  recovery_served_ += record.status == kOk ? 1 : 0;
                }
                checks_.addClientRecord(record);
              });
}

// Fault injection.

void SoakRunner::injectFault() {
  LocalNode& node = *deployment_.nodes()[randomBelow(deployment_.nodes().size())];
  if (randomBelow(kNodeReplacementOdds) == 0) {
    replaceNode(node);
    return;
  }
  switch (randomBelow(5)) {
    case 0:
      injectRouterFault(node);
      return;
    case 1:
    case 2:
      injectLinkFault(node);
      return;
    case 3:
      injectStoreFault();
      return;
    default:
      injectServerFault(node);
      return;
  }
}

void SoakRunner::injectRouterFault(LocalNode& node) {
  if (!node.router_process) {
    return;
  }
  const Duration fault_duration = milliseconds(200 + randomBelow(4000));
  switch (randomBelow(4)) {
    case 0:
      logFault(node.name + ": router SIGKILL");
      node.router_process->signal(SIGKILL);
      return;
    case 1:
      stopRouter(node);
      return;
    case 2:
      logFault(node.name + ": router SIGKILL, down for " + std::to_string(fault_duration.count() / 1000) + " ms");
      node.router_process->signal(SIGKILL);
      node.restart_router = false;
      loop_.runAfter(fault_duration, [&node] { node.restart_router = true; });
      return;
    default:
      logFault(node.name + ": router SIGSTOP for " + std::to_string(fault_duration.count() / 1000) + " ms");
      deployment_.pauseRouter(node);
      loop_.runAfter(fault_duration, [this, &node] { deployment_.resumeRouter(node); });
      return;
  }
}

void SoakRunner::injectLinkFault(LocalNode& node) {
  FaultProxy& link = randomBelow(2) == 0 ? *node.store_link : *node.peer_link;
  const std::string which = &link == node.store_link.get() ? "store" : "peer";
  const Duration fault_duration = milliseconds(300 + randomBelow(6000));
  if (randomBelow(4) == 0) {
    logFault(node.name + ": " + which + " link reset");
    link.resetAll();
    return;
  }
  const auto fault = static_cast<LinkFault>(1 + randomBelow(4));
  logFault(node.name + ": " + which + " link fault " + std::to_string(static_cast<int>(fault)) + " for " +
           std::to_string(fault_duration.count() / 1000) + " ms");
  link.setFault(fault, milliseconds(20 + randomBelow(300)));
  loop_.runAfter(fault_duration, [&link] { link.setFault(LinkFault::None); });
}

void SoakRunner::injectStoreFault() {
  const Duration fault_duration = milliseconds(500 + randomBelow(5000));
  const std::vector<std::string> kinds = {R"({"mode":"silent"})", R"({"mode":"busy"})",        R"({"mode":"reset"})",
                                          R"({"delay_ms":200})",  R"({"lost":0.4})",           R"({"late":0.4})",
                                          R"({"compact":true})",  R"({"lost":0.2,"late":0.2})"};
  const std::string& kind = kinds[randomBelow(kinds.size())];
  logFault("store: " + kind + " for " + std::to_string(fault_duration.count() / 1000) + " ms");
  post(deployment_.store(), "/faults", kind);
  loop_.runAfter(fault_duration, [this] { post(deployment_.store(), "/faults", "{}"); });
  if (randomBelow(3) == 0) {
    writeConfig();
  }
}

void SoakRunner::injectServerFault(LocalNode& node) {
  if (!node.server_process) {
    return;
  }
  const Duration fault_duration = milliseconds(300 + randomBelow(4000));
  switch (randomBelow(4)) {
    case 0:
      logFault(node.name + ": server SIGKILL");
      deployment_.killServer(node);
      node.restart_server = false;
      loop_.runAfter(fault_duration, [&node] { node.restart_server = true; });
      return;
    case 1:
      // A paused server starts the requests of all that time when it continues.
      if (server_conditions_.namesLimit(node)) {
        return;
      }
      logFault(node.name + ": server SIGSTOP");
      deployment_.pauseServer(node);
      loop_.runAfter(fault_duration, [this, &node] { deployment_.resumeServer(node); });
      return;
    case 2:
      logFault(node.name + ": server drains");
      node.server_process->signal(SIGUSR1);
      loop_.runAfter(seconds(3), [this, &node] { deployment_.killServer(node); });
      return;
    default:
      logFault(node.name + ": server response faults");
      post(node.server, "/faults", R"({"lost":0.1,"broken":0.1,"late_orders":0.3,"slow":3})");
      loop_.runAfter(fault_duration, [this, &node] { post(node.server, "/faults", "{}"); });
      return;
  }
}

void SoakRunner::replaceNode(LocalNode& node) {
  const auto& nodes = deployment_.nodes();
  const auto service_nodes = std::count_if(
      nodes.begin(), nodes.end(), [&node](const auto& other) { return other->divided_by_key == node.divided_by_key; });
  if (service_nodes <= kMinNodesPerService) {
    return;
  }
  const std::string lost_node = node.name;
  deployment_.replaceNode(node, node.divided_by_key ? kOrders : kSearch, !node.divided_by_key);
  logFault(lost_node + ": lost permanently, " + node.name + " of " + node.service + " takes its addresses");
}

// Maintenance.

void SoakRunner::injectNextEvent() {
  if (config_.fatal_only) {
    fatal_.sendRound();
  } else if (config_.maintenance_only) {
    injectMaintenance();
  } else {
    injectFault();
  }
}

void SoakRunner::injectMaintenance() {
  switch (randomBelow(4)) {
    case 0:
    case 1:
      stopRouters();
      return;
    case 2:
      blockStoreAfterConfigChanges();
      return;
    default: {
      LocalNode& node = *deployment_.nodes()[randomBelow(deployment_.nodes().size())];
      if (node.server_process) {
        logFault(node.name + ": server drains");
        node.server_process->signal(SIGUSR1);
        // Spares a successor at the same node, which is not draining.
        loop_.runAfter(kServerDrainDuration, [this, &node, leaving = node.server_process->pid()] {
          if (node.server_process && node.server_process->pid() == leaving) {
            deployment_.killServer(node);
          }
        });
      }
      return;
    }
  }
}

void SoakRunner::stopRouters() {
  const std::size_t count = 1 + randomBelow(2);
  for (std::size_t i = 0; i < count; ++i) {
    stopRouter(*deployment_.nodes()[next_router_to_stop_++ % deployment_.nodes().size()]);
  }
}

void SoakRunner::stopRouter(LocalNode& node) {
  // A process that has not installed its handler yet would be ended by the signal instead of stopping in order.
  if (node.router_process && node.router_process->handles(SIGTERM)) {
    logFault(node.name + ": router SIGTERM");
    node.router_process->signal(SIGTERM);
  }
}

void SoakRunner::blockStoreAfterConfigChanges() {
  writeConfig();
  loop_.runAfter(milliseconds(200), [this] { writeConfig(); });
  loop_.runAfter(milliseconds(500), [this] {
    logFault("store: silent for 1000 ms");
    post(deployment_.store(), "/faults", R"({"mode":"silent"})");
  });
  loop_.runAfter(milliseconds(1500), [this] { post(deployment_.store(), "/faults", "{}"); });
  loop_.runAfter(milliseconds(1700), [this] {
    writeConfig();
    probe_.start();
  });
}

void SoakRunner::restartExitedProcesses() {
  const std::vector<std::string> failures = deployment_.restartExitedProcesses();
  violations_.insert(violations_.end(), failures.begin(), failures.end());
}

void SoakRunner::endFaults() {
  logFault("all faults ended");
  peer_link_holds_.stop();
  server_conditions_.stop();
  leaving_servers_.stop();
  router_upgrades_.stop();
  restores_.stop();
  post(deployment_.store(), "/faults", "{}");
  for (const auto& node : deployment_.nodes()) {
    node->restart_router = true;
    node->restart_server = true;
    node->store_link->setFault(LinkFault::None);
    node->peer_link->setFault(LinkFault::None);
    deployment_.resumeRouter(*node);
    deployment_.resumeServer(*node);
    if (node->server_process) {
      post(node->server, "/faults", "{}");
    }
  }
}

void SoakRunner::checkRecovery() {
  measuring_recovery_ = true;
  deployment_.runFor(kRecoveryMeasurementDuration);
  measuring_recovery_ = false;
  deployment_.runFor(clientTimeout() + milliseconds(200));
  const double served =
      recovery_requests_ == 0 ? 0 : static_cast<double>(recovery_served_) / static_cast<double>(recovery_requests_);
  if (served < kMinServedRatio) {
    violations_.push_back("after the end of all faults " + std::to_string(recovery_served_) + " of " +
                          std::to_string(recovery_requests_) + " requests were served");
  }
}

std::vector<std::string> SoakRunner::run() {
  startAll();
  generating_load_ = true;
  deployment_.runFor(kWarmUpDuration);
  generateLoad();
  if (config_.maintenance_only) {
    // Ensures that each run covers this case at least once.
    blockStoreAfterConfigChanges();
    peer_link_holds_.start();
  }
  if (config_.restore_store) {
    restores_.start();
  }
  if (changesConditions()) {
    server_conditions_.start();
    leaving_servers_.start();
  }
  if (!config_.old_router.empty()) {
    router_upgrades_.start();
  }
  Duration passed{};
  while (passed < config_.fault_duration) {
    injectNextEvent();
    const Duration pause =
        milliseconds(200 + randomBelow(config_.fatal_only ? kMaxFatalRequestIntervalMs : kMaxEventIntervalMs));
    for (Duration waited{}; waited < pause; waited += milliseconds(100)) {
      deployment_.runFor(milliseconds(100));
      restartExitedProcesses();
    }
    passed += pause;
  }
  endFaults();
  for (Duration waited{}; waited < kRecoveryDuration; waited += milliseconds(100)) {
    deployment_.runFor(milliseconds(100));
    restartExitedProcesses();
  }
  checkRecovery();
  generating_load_ = false;
  deployment_.runFor(clientTimeout());
  for (const std::string& log : deployment_.serverLogs()) {
    checks_.readLog(log);
    condition_checks_.readLog(log);
  }
  std::vector<std::string> violations = checks_.violations();
  violations.insert(violations.end(), violations_.begin(), violations_.end());
  addViolationsOfThisKind(violations);
  return violations;
}

void SoakRunner::addViolationsOfThisKind(std::vector<std::string>& violations) {
  const std::vector<std::string> conditions = condition_checks_.violations();
  violations.insert(violations.end(), conditions.begin(), conditions.end());
  if (changesConditions() && condition_checks_.limitsNamed() == 0) {
    violations.push_back("no server named a limit");
  }
  if (changesConditions() && leaving_servers_.count() == 0) {
    violations.push_back("no server stopped listening, left slowly or got a successor at its address");
  }
  if (!config_.old_router.empty() && router_upgrades_.count() == 0) {
    violations.push_back("no router was replaced by another build");
  }
  if (config_.restore_store && restores_.count() == 0) {
    violations.push_back("the store was never restored from a backup");
  }
  if (config_.fatal_only) {
    const std::vector<std::string> fatal = fatal_.violations(checks_);
    violations.insert(violations.end(), fatal.begin(), fatal.end());
  }
  violations.insert(violations.end(), probe_.violations().begin(), probe_.violations().end());
  if (config_.maintenance_only) {
    const std::vector<std::string> interrupted = checks_.interruptedRequests();
    violations.insert(violations.end(), interrupted.begin(), interrupted.end());
    if (probe_.activeCount() == 0) {
      violations.push_back("no changed configuration was seen active");
    }
    if (peer_link_holds_.count() == 0) {
      violations.push_back("no peer link was held");
    }
  }
}

}  // namespace shedlever::soak
