#include "soak/soak_world.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace shedlever::soak {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kDividedNodes = 3;
constexpr std::size_t kOtherNodes = 3;
/// Each service keeps so many nodes.
constexpr std::ptrdiff_t kLeastNodes = 2;
/// One fault in so many is the loss of a node for good.
constexpr std::uint64_t kOneReplacedIn = 12;
constexpr Duration kClientTimeout = milliseconds(2500);
constexpr Duration kWarmUp = seconds(6);
constexpr Duration kRecovery = seconds(14);
constexpr Duration kRecoveryMeasured = seconds(4);
/// Part of the requests that must be served once all is healed.
constexpr double kServedAfterwards = 0.97;
constexpr const char* kSearch = "search";
constexpr const char* kOrders = "orders";

/// A server that has said that it leaves ends then; all that it was given is over.
constexpr Duration kServerEndsAfter = milliseconds(4500);
/// Requests are answered before that, or their time was over: what their route allows, and some more.
constexpr Duration kRouteTimeout = milliseconds(1500);
/// Between two events, at most.
constexpr std::uint64_t kMostPauseMs = 2500;
/// Clients that ask again for the same come back sooner.
constexpr std::uint64_t kMostFatalPauseMs = 500;
constexpr int kOk = 200;

}  // namespace

SoakWorld::SoakWorld(EventLoop& loop, SoakConfig config)
    : loop_(loop),
      config_(std::move(config)),
      random_(config_.seed),
      deployment_(loop_, {.seed = config_.seed,
                          .binaries = config_.binaries,
                          .folder = config_.folder,
                          .keys_by_heartbeat = config_.keys_by_heartbeat,
                          .fatal_path = config_.fatal_only ? kFatalPath : ""}),
      restores_(loop_, config_.seed, restorePorts()) {}

SoakWorld::~SoakWorld() = default;

void SoakWorld::note(const std::string& what) {
  std::ofstream(config_.folder + "/faults.log", std::ios::app) << what << "\n";
}

std::string SoakWorld::otherService(std::size_t node) const {
  if (!config_.fatal_only) {
    return kOrders;
  }
  const std::vector<std::string> services = {kOrders, "maps", "checks"};
  return services[node % services.size()];
}

void SoakWorld::startAll() {
  deployment_.startStore();
  HttpClientConfig control;
  control.server = deployment_.store();
  store_control_ = std::make_unique<HttpClient>(loop_, control);
  writeConfig();
  for (std::size_t i = 0; i < kDividedNodes + kOtherNodes; ++i) {
    const bool divided = i < kDividedNodes;
    const LocalNode& node = deployment_.addNode(divided ? kSearch : otherService(i), divided);
    HttpClientConfig client;
    client.server = node.clients;
    client.connections = 64;
    client.keep_host = true;
    client.close_framed = true;
    clients_.push_back(std::make_unique<HttpClient>(loop_, client));
  }
}

StoreRestores::Ports SoakWorld::restorePorts() {
  StoreRestores::Ports ports;
  ports.set_faults = [this](const std::string& body) {
    store_control_->send({"POST", "/faults", {}, body}, seconds(1), [](const HttpExchange&) {});
  };
  ports.write_again = [this] {
    writeConfigAgain();
    if (config_.planned_only) {
      writeConfig();
      probe_.start();
    }
  };
  ports.note = [this](const std::string& what) { note(what); };
  return ports;
}

void SoakWorld::writeConfig() {
  const bool first = ++config_version_ == 1;
  probe_.onWritten(config_version_);
  sendConfig(first ? "POST" : "PUT", first ? "/objects/config" : "/objects/config/main");
}

void SoakWorld::writeConfigAgain() { sendConfig("PUT", "/objects/config/main"); }

void SoakWorld::sendConfig(const std::string& method, const std::string& path) {
  const auto route = [](const char* name, const char* prefix, const char* kind, const char* service) {
    return json{{"name", name},  {"host", "h"},         {"pathPrefix", prefix},
                {"kind", kind},  {"timeout", "1500ms"}, {"targetLatency", "300ms"},
                {"priority", 1}, {"service", service},  {"maxAttempts", 2}};
  };
  char version[16];
  std::snprintf(version, sizeof(version), "%08llx", static_cast<unsigned long long>(config_version_));
  const std::string newest = newestPrefix(config_version_);
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
  store_control_->send({method, path, {}, object.dump()}, seconds(2), [](const HttpExchange&) {});
}

void SoakWorld::post(const Endpoint& to, const std::string& path, const std::string& body) {
  HttpClientConfig config;
  config.server = to;
  auto client = std::make_shared<HttpClient>(loop_, config);
  client->send({"POST", path, {}, body}, seconds(1), [this, client](const HttpExchange&) { loop_.post([client] {}); });
}

// Load.

void SoakWorld::load() {
  if (!loading_) {
    return;
  }
  sendOne();
  loop_.runAfter(std::chrono::microseconds(1'000'000 / config_.requests_per_second), [this] { load(); });
}

void SoakWorld::sendOne() {
  HttpClient& client = *clients_[below(clients_.size())];
  check::ClientRecord record;
  record.id = "r" + std::to_string(++last_request_);
  const std::uint64_t kind = below(3);
  record.at_most_once = kind != 0;
  HttpRequest request;
  request.method = kind == 0 ? "GET" : "POST";
  request.target = kind == 0 ? "/search/x" : (kind == 1 ? "/orders/x" : "/keyed/x");
  request.headers = {{"Host", "h"}, {"X-Request-Id", record.id}, {"X-Request-Deadline", "2000"}};
  if (kind != 1) {
    request.headers.push_back({"X-Shard-Key", std::to_string(below(65536))});
  }
  const bool counted = counting_;
  const auto sent_at = std::chrono::steady_clock::now();
  client.send(std::move(request), kClientTimeout, [this, record, counted, sent_at](HttpExchange exchange) mutable {
    record.timed_out = std::chrono::steady_clock::now() - sent_at >= kRouteTimeout;
    if (exchange.status == HttpExchangeStatus::Complete) {
      record.status = exchange.response.status;
      record.body = std::move(exchange.response.body);
    }
    if (counted) {
      ++counted_;
      counted_served_ += record.status == kOk ? 1 : 0;
    }
    checks_.addClientRecord(record);
  });
}

// Faults.

void SoakWorld::fault() {
  LocalNode& node = *deployment_.nodes()[below(deployment_.nodes().size())];
  if (below(kOneReplacedIn) == 0) {
    replaceNode(node);
    return;
  }
  switch (below(5)) {
    case 0:
      faultProcess(node);
      return;
    case 1:
    case 2:
      faultLink(node);
      return;
    case 3:
      faultStore();
      return;
    default:
      faultServer(node);
      return;
  }
}

void SoakWorld::faultProcess(LocalNode& node) {
  if (!node.router_process) {
    return;
  }
  const Duration back_after = milliseconds(200 + below(4000));
  switch (below(4)) {
    case 0:
      note(node.name + ": router SIGKILL");
      node.router_process->signal(SIGKILL);
      return;
    case 1:
      note(node.name + ": router SIGTERM");
      node.router_process->signal(SIGTERM);
      return;
    case 2:
      note(node.name + ": router dark for " + std::to_string(back_after.count() / 1000) + " ms");
      node.router_process->signal(SIGKILL);
      node.router_wanted = false;
      loop_.runAfter(back_after, [&node] { node.router_wanted = true; });
      return;
    default:
      note(node.name + ": router SIGSTOP for " + std::to_string(back_after.count() / 1000) + " ms");
      node.router_process->signal(SIGSTOP);
      loop_.runAfter(back_after, [&node] {
        if (node.router_process) {
          node.router_process->signal(SIGCONT);
        }
      });
      return;
  }
}

void SoakWorld::faultLink(LocalNode& node) {
  FaultProxy& link = below(2) == 0 ? *node.store_link : *node.peer_link;
  const std::string which = &link == node.store_link.get() ? "store" : "peer";
  const Duration back_after = milliseconds(300 + below(6000));
  if (below(4) == 0) {
    note(node.name + ": " + which + " link reset");
    link.resetAll();
    return;
  }
  const auto fault = static_cast<LinkFault>(1 + below(4));
  note(node.name + ": " + which + " link fault " + std::to_string(static_cast<int>(fault)) + " for " +
       std::to_string(back_after.count() / 1000) + " ms");
  link.setFault(fault, milliseconds(20 + below(300)));
  loop_.runAfter(back_after, [&link] { link.setFault(LinkFault::None); });
}

void SoakWorld::faultStore() {
  const Duration back_after = milliseconds(500 + below(5000));
  const std::vector<std::string> kinds = {R"({"mode":"silent"})", R"({"mode":"busy"})",        R"({"mode":"reset"})",
                                          R"({"delay_ms":200})",  R"({"lost":0.4})",           R"({"late":0.4})",
                                          R"({"compact":true})",  R"({"lost":0.2,"late":0.2})"};
  const std::string& kind = kinds[below(kinds.size())];
  note("store: " + kind + " for " + std::to_string(back_after.count() / 1000) + " ms");
  post(deployment_.store(), "/faults", kind);
  loop_.runAfter(back_after, [this] { post(deployment_.store(), "/faults", "{}"); });
  if (below(3) == 0) {
    writeConfig();
  }
}

void SoakWorld::faultServer(LocalNode& node) {
  if (!node.server_process) {
    return;
  }
  const Duration back_after = milliseconds(300 + below(4000));
  switch (below(4)) {
    case 0:
      note(node.name + ": server SIGKILL");
      node.server_process->signal(SIGKILL);
      node.server_wanted = false;
      loop_.runAfter(back_after, [&node] { node.server_wanted = true; });
      return;
    case 1:
      note(node.name + ": server SIGSTOP");
      node.server_process->signal(SIGSTOP);
      loop_.runAfter(back_after, [&node] {
        if (node.server_process) {
          node.server_process->signal(SIGCONT);
        }
      });
      return;
    case 2:
      note(node.name + ": server leaves");
      node.server_process->signal(SIGUSR1);
      loop_.runAfter(seconds(3), [&node] {
        if (node.server_process) {
          node.server_process->signal(SIGKILL);
        }
      });
      return;
    default:
      note(node.name + ": server answers badly");
      post(node.server, "/faults", R"({"lost":0.1,"broken":0.1,"late_orders":0.3,"slow":3})");
      loop_.runAfter(back_after, [this, &node] { post(node.server, "/faults", "{}"); });
      return;
  }
}

void SoakWorld::replaceNode(LocalNode& node) {
  const auto& nodes = deployment_.nodes();
  const auto alike =
      std::count_if(nodes.begin(), nodes.end(), [&node](const auto& other) { return other->divided == node.divided; });
  if (alike <= kLeastNodes) {
    return;
  }
  const std::string lost = node.name;
  deployment_.replaceNode(node, node.divided ? kOrders : kSearch, !node.divided);
  note(lost + ": lost for good, " + node.name + " of " + node.service + " at its addresses");
}

// Planned work.

void SoakWorld::disturb() {
  if (config_.fatal_only) {
    fatal_.sendRound();
  } else if (config_.planned_only) {
    plannedWork();
  } else {
    fault();
  }
}

void SoakWorld::plannedWork() {
  switch (below(4)) {
    case 0:
    case 1:
      stopSome();
      return;
    case 2:
      silenceAfterChanges();
      return;
    default: {
      LocalNode& node = *deployment_.nodes()[below(deployment_.nodes().size())];
      if (node.server_process) {
        note(node.name + ": server leaves");
        node.server_process->signal(SIGUSR1);
        // Not the next one in its place: that has not said that it leaves.
        loop_.runAfter(kServerEndsAfter, [&node, leaving = node.server_process->pid()] {
          if (node.server_process && node.server_process->pid() == leaving) {
            node.server_process->signal(SIGKILL);
          }
        });
      }
      return;
    }
  }
}

void SoakWorld::stopSome() {
  const std::size_t count = 1 + below(2);
  for (std::size_t i = 0; i < count; ++i) {
    LocalNode& node = *deployment_.nodes()[next_stopped_++ % deployment_.nodes().size()];
    if (node.router_process) {
      note(node.name + ": router SIGTERM");
      node.router_process->signal(SIGTERM);
    }
  }
}

void SoakWorld::silenceAfterChanges() {
  writeConfig();
  loop_.runAfter(milliseconds(200), [this] { writeConfig(); });
  loop_.runAfter(milliseconds(500), [this] {
    note("store: silent for a second");
    post(deployment_.store(), "/faults", R"({"mode":"silent"})");
  });
  loop_.runAfter(milliseconds(1500), [this] { post(deployment_.store(), "/faults", "{}"); });
  loop_.runAfter(milliseconds(1700), [this] {
    writeConfig();
    probe_.start();
  });
}

void SoakWorld::keepRunning() {
  const std::vector<std::string> ends = deployment_.keepRunning();
  broken_.insert(broken_.end(), ends.begin(), ends.end());
}

void SoakWorld::heal() {
  note("healed");
  restores_.stop();
  post(deployment_.store(), "/faults", "{}");
  for (const auto& node : deployment_.nodes()) {
    node->router_wanted = true;
    node->server_wanted = true;
    node->store_link->setFault(LinkFault::None);
    node->peer_link->setFault(LinkFault::None);
    if (node->router_process) {
      node->router_process->signal(SIGCONT);
    }
    if (node->server_process) {
      node->server_process->signal(SIGCONT);
      post(node->server, "/faults", "{}");
    }
  }
}

void SoakWorld::checkRecovery() {
  counting_ = true;
  deployment_.runFor(kRecoveryMeasured);
  counting_ = false;
  deployment_.runFor(kClientTimeout + milliseconds(200));
  const double served = counted_ == 0 ? 0 : static_cast<double>(counted_served_) / static_cast<double>(counted_);
  if (served < kServedAfterwards) {
    broken_.push_back("after healing " + std::to_string(counted_served_) + " of " + std::to_string(counted_) +
                      " requests were served");
  }
}

std::vector<std::string> SoakWorld::run() {
  startAll();
  loading_ = true;
  deployment_.runFor(kWarmUp);
  load();
  if (config_.planned_only) {
    // Each run has it at least once.
    silenceAfterChanges();
  }
  if (config_.restores) {
    restores_.start();
  }
  Duration passed{};
  while (passed < config_.faults_for) {
    disturb();
    const Duration pause = milliseconds(200 + below(config_.fatal_only ? kMostFatalPauseMs : kMostPauseMs));
    for (Duration waited{}; waited < pause; waited += milliseconds(100)) {
      deployment_.runFor(milliseconds(100));
      keepRunning();
    }
    passed += pause;
  }
  heal();
  for (Duration waited{}; waited < kRecovery; waited += milliseconds(100)) {
    deployment_.runFor(milliseconds(100));
    keepRunning();
  }
  checkRecovery();
  loading_ = false;
  deployment_.runFor(kClientTimeout);
  for (const std::string& log : deployment_.serverLogs()) {
    checks_.readLog(log);
  }
  std::vector<std::string> found = checks_.violations();
  found.insert(found.end(), broken_.begin(), broken_.end());
  if (config_.restores && restores_.count() == 0) {
    found.push_back("the store never came back from a copy");
  }
  if (config_.fatal_only) {
    const std::vector<std::string> fatal = fatal_.violations(checks_);
    found.insert(found.end(), fatal.begin(), fatal.end());
  }
  found.insert(found.end(), probe_.broken().begin(), probe_.broken().end());
  if (config_.planned_only) {
    const std::vector<std::string> cut = checks_.interruptedRequests();
    found.insert(found.end(), cut.begin(), cut.end());
    if (probe_.seenInForce() == 0) {
      found.push_back("no changed configuration was seen in force");
    }
  }
  return found;
}

}  // namespace shedlever::soak
