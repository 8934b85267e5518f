#include "soak/soak_world.h"

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
constexpr Duration kClientTimeout = milliseconds(2500);
constexpr Duration kWarmUp = seconds(6);
constexpr Duration kRecovery = seconds(14);
constexpr Duration kRecoveryMeasured = seconds(4);
/// Part of the requests that must be served once all is healed.
constexpr double kServedAfterwards = 0.97;
constexpr const char* kSearch = "search";
constexpr const char* kOrders = "orders";

/// Ports below those that the kernel gives to connecting sockets: a process that is restarted must find its port free.
constexpr std::uint16_t kFirstPort = 15000;
constexpr std::uint16_t kPorts = 15000;

/// @return an endpoint that was free a moment ago.
Endpoint freeEndpoint(EventLoop& loop, std::mt19937_64& random) {
  while (true) {
    Endpoint endpoint{"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + random() % kPorts)};
    const bool is_free = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(TcpListener::open(loop, endpoint, [](evutil_socket_t, const Endpoint&) {}));
          return true;
        },
        [] { return false; });
    if (is_free) {
      return endpoint;
    }
  }
}

template <class Value>
std::unique_ptr<Value> orNull(leaf::result<std::unique_ptr<Value>> result) {
  return result ? std::move(result.value()) : nullptr;
}

}  // namespace

/// A router, the server beside it, and the proxies on its links.
struct SoakWorld::Node {
  std::string name;
  std::string service;
  bool divided = false;
  Endpoint clients;
  Endpoint peers;
  Endpoint readiness;
  Endpoint reports;
  Endpoint server;
  std::string settings_file;
  std::string server_log;
  std::unique_ptr<FaultProxy> store_link;
  std::unique_ptr<FaultProxy> peer_link;
  std::unique_ptr<test::ChildProcess> router_process;
  std::unique_ptr<test::ChildProcess> server_process;
  std::unique_ptr<HttpClient> client;
  bool router_wanted = true;
  bool server_wanted = true;
  bool router_stopped = false;
};

SoakWorld::SoakWorld(EventLoop& loop, SoakConfig config)
    : loop_(loop), config_(std::move(config)), random_(config_.seed) {}

SoakWorld::~SoakWorld() = default;

void SoakWorld::note(const std::string& what) {
  std::ofstream(config_.folder + "/faults.log", std::ios::app) << what << "\n";
}

void SoakWorld::runFor(Duration span) {
  loop_.runUntil([] { return false; }, span);
}

void SoakWorld::startAll() {
  store_endpoint_ = freeEndpoint(loop_, random_);
  store_ =
      orNull(test::ChildProcess::start({config_.binaries + "/standin-metadata",
                                        {"--listen", toString(store_endpoint_), "--seed", std::to_string(config_.seed)},
                                        config_.folder + "/store.log"}));
  HttpClientConfig control;
  control.server = store_endpoint_;
  store_control_ = std::make_unique<HttpClient>(loop_, control);
  runFor(milliseconds(200));
  writeConfig();
  for (std::size_t i = 0; i < kDividedNodes + kOtherNodes; ++i) {
    auto node = std::make_unique<Node>();
    node->name = "node-" + std::to_string(i);
    node->divided = i < kDividedNodes;
    node->service = node->divided ? kSearch : kOrders;
    node->clients = freeEndpoint(loop_, random_);
    node->peers = freeEndpoint(loop_, random_);
    node->readiness = freeEndpoint(loop_, random_);
    node->reports = freeEndpoint(loop_, random_);
    node->server = freeEndpoint(loop_, random_);
    node->settings_file = config_.folder + "/" + node->name + ".json";
    node->server_log = config_.folder + "/" + node->name + "-server.log";
    node->store_link = orNull(FaultProxy::listen(loop_, store_endpoint_));
    node->peer_link = orNull(FaultProxy::listen(loop_, node->peers));
    HttpClientConfig client;
    client.server = node->clients;
    client.connections = 64;
    client.keep_host = true;
    client.close_framed = true;
    node->client = std::make_unique<HttpClient>(loop_, client);
    nodes_.push_back(std::move(node));
  }
  for (const auto& node : nodes_) {
    startServer(*node);
    startRouter(*node);
  }
}

void SoakWorld::startRouter(Node& node) {
  const json settings = {
      {"node", {{"name", node.name}, {"zone", "z"}, {"service", node.service}}},
      {"listen",
       {{"clients", toString(node.clients)},
        {"peers", toString(node.peers)},
        {"peers_reached_at", toString(node.peer_link->endpoint())},
        {"readiness", toString(node.readiness)},
        {"reports", toString(node.reports)}}},
      {"connect", {{"server", toString(node.server)}, {"store", toString(node.store_link->endpoint())}}},
      {"retry", {{"ratio", 0.2}, {"slack", 50}}},
      {"stop", {{"grace", "4s"}, {"clients_leave", "1s"}}}};
  std::ofstream(node.settings_file) << settings.dump(1);
  node.router_process = orNull(test::ChildProcess::start({config_.binaries + "/shedlever-router",
                                                          {"--settings", node.settings_file},
                                                          config_.folder + "/" + node.name + ".log"}));
  node.router_stopped = false;
}

void SoakWorld::startServer(Node& node) {
  std::vector<std::string> arguments = {
      "--listen", toString(node.server), "--reports-to", toString(node.reports),   "--service", node.service,
      "--log",    node.server_log,       "--seed",       std::to_string(random_())};
  if (node.divided) {
    arguments.push_back("--divided");
  }
  node.server_process = orNull(test::ChildProcess::start(
      {config_.binaries + "/standin-keys", arguments, config_.folder + "/" + node.name + "-server.out"}));
}

void SoakWorld::writeConfig() {
  ++config_version_;
  const auto route = [](const char* name, const char* prefix, const char* kind, const char* service) {
    return json{{"name", name},  {"host", "h"},         {"pathPrefix", prefix},
                {"kind", kind},  {"timeout", "1500ms"}, {"targetLatency", "300ms"},
                {"priority", 1}, {"service", service},  {"maxAttempts", 2}};
  };
  char version[16];
  std::snprintf(version, sizeof(version), "%08llx", static_cast<unsigned long long>(config_version_));
  const json spec = {
      {"version", version},
      {"routes",
       {route("search", "/search/", "idempotent", kSearch), route("orders", "/orders/", "non_idempotent", kOrders),
        route("keyed-orders", "/keyed/", "non_idempotent", kSearch)}},
      {"services",
       {{{"name", kSearch}, {"healthPath", "/health"}, {"maxConnections", 100}, {"sharded", true}},
        {{"name", kOrders}, {"healthPath", "/health"}, {"maxConnections", 100}}}},
      {"limits", json::object()}};
  const json object = {{"metadata", {{"name", "main"}}}, {"spec", spec}};
  if (config_version_ == 1) {
    store_control_->send({"POST", "/objects/config", {}, object.dump()}, seconds(2), [](const HttpExchange&) {});
  } else {
    store_control_->send({"PUT", "/objects/config/main", {}, object.dump()}, seconds(2), [](const HttpExchange&) {});
  }
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
  Node& node = *nodes_[below(nodes_.size())];
  ClientRecord record;
  record.id = "r" + std::to_string(++last_request_);
  const std::uint64_t kind = below(3);
  record.once_only = kind != 0;
  HttpRequest request;
  request.method = kind == 0 ? "GET" : "POST";
  request.target = kind == 0 ? "/search/x" : (kind == 1 ? "/orders/x" : "/keyed/x");
  request.headers = {{"Host", "h"}, {"X-Request-Id", record.id}, {"X-Request-Deadline", "2000"}};
  if (kind != 1) {
    request.headers.push_back({"X-Shard-Key", std::to_string(below(65536))});
  }
  const bool counted = counting_;
  node.client->send(std::move(request), kClientTimeout, [this, record, counted](HttpExchange exchange) mutable {
    if (exchange.status == HttpExchangeStatus::Complete) {
      record.status = exchange.response.status;
      record.body = std::move(exchange.response.body);
    }
    if (counted) {
      ++counted_;
      constexpr int kOk = 200;
      counted_served_ += record.status == kOk ? 1 : 0;
    }
    checks_.onClient(record);
  });
}

// Faults.

void SoakWorld::fault() {
  Node& node = *nodes_[below(nodes_.size())];
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

void SoakWorld::faultProcess(Node& node) {
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

void SoakWorld::faultLink(Node& node) {
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
  post(store_endpoint_, "/faults", kind);
  loop_.runAfter(back_after, [this] { post(store_endpoint_, "/faults", "{}"); });
  if (below(3) == 0) {
    writeConfig();
  }
}

void SoakWorld::faultServer(Node& node) {
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

void SoakWorld::keepRunning() {
  for (const auto& node : nodes_) {
    if (node->router_process && node->router_process->poll()) {
      const test::ChildEnd end = *node->router_process->poll();
      if (end.status > 0 || (end.signal != 0 && end.signal != SIGKILL)) {
        broken_.push_back(node->name + ": its router ended by itself, status " + std::to_string(end.status) +
                          ", signal " + std::to_string(end.signal));
      }
      node->router_process.reset();
    }
    if (!node->router_process && node->router_wanted) {
      startRouter(*node);
    }
    if (node->server_process && node->server_process->poll()) {
      node->server_process.reset();
    }
    if (!node->server_process && node->server_wanted) {
      startServer(*node);
    }
  }
}

void SoakWorld::heal() {
  note("healed");
  post(store_endpoint_, "/faults", "{}");
  for (const auto& node : nodes_) {
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
  runFor(kRecoveryMeasured);
  counting_ = false;
  runFor(kClientTimeout + milliseconds(200));
  const double served = counted_ == 0 ? 0 : static_cast<double>(counted_served_) / static_cast<double>(counted_);
  if (served < kServedAfterwards) {
    broken_.push_back("after healing " + std::to_string(counted_served_) + " of " + std::to_string(counted_) +
                      " requests were served");
  }
}

std::vector<std::string> SoakWorld::run() {
  startAll();
  loading_ = true;
  runFor(kWarmUp);
  load();
  Duration passed{};
  while (passed < config_.faults_for) {
    fault();
    const Duration pause = milliseconds(200 + below(2500));
    for (Duration waited{}; waited < pause; waited += milliseconds(100)) {
      runFor(milliseconds(100));
      keepRunning();
    }
    passed += pause;
  }
  heal();
  for (Duration waited{}; waited < kRecovery; waited += milliseconds(100)) {
    runFor(milliseconds(100));
    keepRunning();
  }
  checkRecovery();
  loading_ = false;
  runFor(kClientTimeout);
  for (const auto& node : nodes_) {
    checks_.readLog(node->server_log);
  }
  std::vector<std::string> found = checks_.violations();
  found.insert(found.end(), broken_.begin(), broken_.end());
  return found;
}

}  // namespace shedlever::soak
