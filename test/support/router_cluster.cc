#include "test/support/router_cluster.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "test/support/scripted_server.h"

namespace shedlever::test {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kClientTimeout = seconds(20);
constexpr int kOk = 200;
/// Longer than an evacuation takes on a busy machine.
constexpr Duration kEvacuationTimeLimit = seconds(5);

template <class Value>
std::unique_ptr<Value> valueOf(leaf::result<std::unique_ptr<Value>> result) {
  EXPECT_TRUE(static_cast<bool>(result));
  return result ? std::move(result.value()) : nullptr;
}

json routeJson(const std::string& prefix) {
  const bool keyed = prefix == "/search/";
  return {{"name", prefix},       {"host", "h"},
          {"pathPrefix", prefix}, {"kind", keyed ? "idempotent" : "non_idempotent"},
          {"timeout", "10s"},     {"targetLatency", "2s"},
          {"priority", 1},        {"service", keyed ? "search" : "orders"},
          {"maxAttempts", 2}};
}

}  // namespace

RouterCluster::RouterCluster(GrantDelivery grants)
    : grants_(grants),
      folder_(std::filesystem::temp_directory_path() / ("router-cluster-" + std::to_string(getpid()))) {
  std::filesystem::create_directories(folder_);
  store_ = valueOf(standins::MetadataServer::listen(loop_, kAnyLoopbackPort, 1));
  HttpClientConfig config;
  config.server = store_->endpoint();
  operator_client_ = std::make_unique<HttpClient>(loop_, config);
  writeConfig(1, {"/search/", "/orders/"});
}

RouterCluster::~RouterCluster() {
  nodes_.clear();
  std::filesystem::remove_all(folder_);
}

void RouterCluster::sendOperatorRequest(HttpRequest request) {
  bool answered = false;
  operator_client_->send(std::move(request), seconds(5), [&answered](const HttpExchangeResult& exchange) {
    EXPECT_EQ(exchange.status, HttpExchangeStatus::Complete);
    answered = true;
  });
  EXPECT_TRUE(runUntil([&answered] { return answered; }));
}

void RouterCluster::setStoreMode(const std::string& mode) {
  sendOperatorRequest({"POST", "/faults", {}, json{{"mode", mode}}.dump()});
}

void RouterCluster::setStoreDelay(Duration delay) {
  const auto delay_ms = std::chrono::floor<milliseconds>(delay).count();
  sendOperatorRequest({"POST", "/faults", {}, json{{"delay_ms", delay_ms}}.dump()});
}

void RouterCluster::backUpStore() { sendOperatorRequest({"POST", "/faults", {}, json{{"keep_copy", true}}.dump()}); }

void RouterCluster::restoreStore() {
  sendOperatorRequest({"POST", "/faults", {}, json{{"restore_copy", true}}.dump()});
}

void RouterCluster::evacuate(const std::string& zone, bool evacuated) {
  if (evacuated) {
    const json object = {{"metadata", {{"name", zone}}}, {"spec", json::object()}};
    sendOperatorRequest({"POST", "/objects/evacuations", {}, object.dump()});
  } else {
    sendOperatorRequest({"DELETE", "/objects/evacuations/" + zone, {}, {}});
  }
}

void RouterCluster::writeConfig(std::uint32_t version, const std::vector<std::string>& routes) {
  json entries = json::array();
  for (const std::string& prefix : routes) {
    entries.push_back(routeJson(prefix));
  }
  const json spec = {{"version", std::to_string(version)},
                     {"routes", std::move(entries)},
                     {"services",
                      {{{"name", "search"}, {"healthPath", "/health"}, {"maxConnections", 100}, {"sharded", true}},
                       {{"name", "orders"}, {"healthPath", "/health"}, {"maxConnections", 100}}}},
                     {"limits", json::object()}};
  const json object = {{"metadata", {{"name", "main"}}}, {"spec", spec}};
  const bool exists = std::exchange(config_exists_, true);
  sendOperatorRequest(
      {exists ? "PUT" : "POST", exists ? "/objects/config/main" : "/objects/config", {}, object.dump()});
}

bool RouterCluster::runUntil(const std::function<bool()>& done) { return loop_.runUntil(done, kTestTimeout); }

RouterCluster::Node& RouterCluster::addNode(const std::string& service, Duration request_duration,
                                            double link_bytes_per_second) {
  nodes_.push_back(std::make_unique<Node>());
  Node& node = *nodes_.back();
  const std::string name = "node-" + std::to_string(nodes_.size() - 1);
  standins::KeyServerConfig& server = node.server_config;
  server.listen = kAnyLoopbackPort;
  server.service = service;
  server.divided_by_key = service == "search";
  server.keys_by_heartbeat = grants_ == GrantDelivery::Heartbeat;
  server.request_duration = request_duration;
  server.log_file = (folder_ / (name + ".log")).string();
  server.fatal_path = fatal_path_;
  server.on_fatal_begin = [this] { ++fatal_requests_started_; };
  server.on_fatal_end = [this, &node] {
    loop_.post([this, &node] {
      ++server_crashes_;
      restartServer(node);
    });
  };
  server.id = keep_server_ids_ ? "i-of-" + name : "";
  startServer(node);
  RouterSettings& settings = node.settings;
  settings.node = NodeName(name);
  settings.zone = ZoneName(zone_.empty() ? "z" : zone_);
  settings.evacuation.time_limit = zone_.empty() ? Duration::zero() : kEvacuationTimeLimit;
  settings.service = ServiceName(service);
  settings.clients_listen = kAnyLoopbackPort;
  settings.peers_listen = kAnyLoopbackPort;
  settings.peers_advertised = kAnyLoopbackPort;
  settings.readiness_listen = kAnyLoopbackPort;
  settings.reports_listen = kAnyLoopbackPort;
  settings.server = node.server->endpoint();
  settings.store = store_->endpoint();
  settings.retry = {0.1, 100};
  settings.ownership.grant_delivery = grants_;
  settings.ownership.first_division_delay = milliseconds(10);
  settings.ownership.service_plan_from = service_plan_from_;
  settings.ownership.shared_writes_from = shared_writes_from_;
  settings.stop.clients_leave = milliseconds(750);
  settings.stop.grace = grace_;
  settings.link.bytes_per_second = link_bytes_per_second;
  startRouter(node);
  return node;
}

void RouterCluster::startServer(Node& node) {
  node.server = valueOf(standins::KeyServer::start(loop_, node.server_config));
  node.server_config.listen = node.server->endpoint();
}

void RouterCluster::replaceServer(Node& node) {
  node.server.reset();
  startServer(node);
}

void RouterCluster::restartServer(Node& node) {
  replaceServer(node);
  startHeartbeats(node);
}

void RouterCluster::startRouter(Node& node) {
  PlatformAdapters adapters;
  adapters.clients = &clients_;
  adapters.servers = &servers_;
  adapters.reports = &reports_;
  adapters.config = &config_;
  if (idempotency_keys_required_) {
    adapters.clients = &idempotency_key_clients_;
    adapters.config = &idempotency_key_config_;
  }
  adapters.make_store = [](StoreCaller caller, UnreadableEntryCallback on_unreadable) {
    return std::make_unique<platform::PlatformStore>(std::move(caller), std::move(on_unreadable));
  };
  constexpr mode_t kLogMode = 0600;
  const int log = open(routerLogFile(node).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  node.router = std::make_unique<RouterProcess>(loop_, node.settings, adapters, log);
  EXPECT_TRUE(static_cast<bool>(node.router->open()));
  node.server->startHeartbeats(node.router->reportsEndpoint());
  HttpClientConfig client;
  client.server = node.router->clientsEndpoint();
  client.max_connections = 64;
  client.preserve_host = true;
  client.allow_close_delimited = true;
  node.client = std::make_unique<HttpClient>(loop_, client);
}

void RouterCluster::restartRouter(Node& node) {
  node.client.reset();
  node.router.reset();
  startRouter(node);
}

std::shared_ptr<ClientResponse> RouterCluster::send(Node& node, const std::string& target, const std::string& key) {
  auto outcome = std::make_shared<ClientResponse>();
  HttpRequest request{
      "POST",
      target,
      {{"Host", "h"},
       {"X-Request-Id", "r" + std::to_string(++last_request_)},
       {"X-Request-Deadline", std::to_string(std::chrono::floor<milliseconds>(client_deadline_).count())}},
      {}};
  if (!key.empty()) {
    request.headers.push_back({"X-Shard-Key", key});
  }
  if (!idempotency_key_.empty()) {
    request.headers.push_back({kIdempotencyKeyHeader, idempotency_key_});
  }
  node.client->send(std::move(request), kClientTimeout, [outcome](HttpExchangeResult exchange) {
    outcome->completed = true;
    outcome->status = exchange.status;
    outcome->response = std::move(exchange.response);
  });
  return outcome;
}

ClientResponse RouterCluster::sendAndWait(Node& node, const std::string& target, const std::string& key) {
  const auto outcome = send(node, target, key);
  EXPECT_TRUE(runUntil([&outcome] { return outcome->completed; }));
  return *outcome;
}

std::shared_ptr<const bool> RouterCluster::timerFlag(Duration time) {
  auto elapsed = std::make_shared<bool>(false);
  loop_.runAfter(time, [elapsed] { *elapsed = true; });
  return elapsed;
}

void RouterCluster::runFor(Duration duration) {
  const auto elapsed = timerFlag(duration);
  runUntil([&elapsed] { return *elapsed; });
}

bool RouterCluster::allNodesRespond(const std::string& target, int status, Duration limit) {
  const auto elapsed = timerFlag(limit);
  for (const auto& node : nodes_) {
    while (sendAndWait(*node, target).response.status != status) {
      if (*elapsed) {
        return false;
      }
      runFor(milliseconds(20));
    }
  }
  return true;
}

bool RouterCluster::runUntilServing() {
  const std::vector<std::string> keys = {"0", "20000", "40000", "65535"};
  for (const auto& node : nodes_) {
    bool served = false;
    for (int tries = 0; tries < 200 && !served; ++tries) {
      served = sendAndWait(*node, "/orders/x").response.status == kOk;
      for (const std::string& key : keys) {
        served = sendAndWait(*node, "/search/x", key).response.status == kOk && served;
      }
      if (!served) {
        runFor(milliseconds(20));
      }
    }
    if (!served) {
      return false;
    }
  }
  return true;
}

}  // namespace shedlever::test
