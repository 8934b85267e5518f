#pragma once

/// @file
/// Routers, servers and the store in one process and on one event loop, connected over loopback, for end-to-end tests.

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "platform/client_protocol.h"
#include "platform/config_protocol.h"
#include "platform/platform_store.h"
#include "platform/report_protocol.h"
#include "platform/server_protocol.h"
#include "source/router/router_process.h"
#include "standins/router/key_server.h"
#include "standins/router/metadata_server.h"
#include "test/support/idempotency_key_protocols.h"

namespace shedlever::test {

/// The outcome of a request as its client sees it.
struct ClientResponse {
  bool completed = false;
  HttpExchangeStatus status = HttpExchangeStatus::NotSent;
  HttpResponse response;
};

class RouterCluster {
 public:
  struct Node {
    standins::KeyServerConfig server_config;
    std::unique_ptr<standins::KeyServer> server;
    RouterSettings settings;
    std::unique_ptr<RouterProcess> router;
    std::unique_ptr<HttpClient> client;
    bool stopped = false;
  };

  /// @param grants how the servers of "search" receive their keys.
  explicit RouterCluster(GrantDelivery grants = GrantDelivery::Request);

  /// Sets the zone of nodes that are added later, and allows their zones to be evacuated.
  void setZone(const std::string& zone) { zone_ = zone; }
  /// Starts or ends the evacuation of a zone, as an operator does.
  void evacuate(const std::string& zone, bool evacuated);
  /// Sets the number of servers of a service from which one router plans for all owners, for routers that are added
  /// later.
  void setServicePlanFrom(std::size_t servers) { service_plan_from_ = servers; }
  /// Sets the stop grace period of routers that are added later.
  void setStopGrace(Duration grace) { grace_ = grace; }
  /// Sets from how many owners of "search" one router that is added later writes the edits of all.
  void setSharedWritesFrom(std::uint32_t owners) { shared_writes_from_ = owners; }
  /// Sets the deadline that clients state in requests sent later.
  void setClientDeadline(Duration deadline) { client_deadline_ = deadline; }

  /// Makes routers that are added later require an idempotency key for requests to "orders".
  void requireIdempotencyKeys() { idempotency_keys_required_ = true; }
  /// Sets the idempotency key of requests sent later; empty for none.
  void setIdempotencyKey(const std::string& key) { idempotency_key_ = key; }

  /// Sets the path of requests that crash servers, for servers that are added later. A crashed server is replaced
  /// immediately by a new instance.
  void setFatalPath(const std::string& path) { fatal_path_ = path; }
  /// Sets whether restarted servers keep their ids, for servers that are added later.
  void setKeepServerIds(bool keep) { keep_server_ids_ = keep; }
  /// Destroys the node's server and immediately starts it again.
  void restartServer(Node& node);
  /// Destroys the node's server and immediately starts another one at its address, which sends no heartbeats yet.
  void replaceServer(Node& node);
  /// Starts the heartbeats of a server that has replaced another one.
  void startHeartbeats(Node& node) { node.server->startHeartbeats(node.router->reportsEndpoint()); }
  /// @return the number of fatal requests that a server has begun.
  std::size_t fatalRequestsStarted() const { return fatal_requests_started_; }
  /// @return the number of servers that fatal requests have crashed.
  std::size_t serverCrashes() const { return server_crashes_; }
  /// Destroys the node's router without a graceful stop and starts another one in its place.
  void restartRouter(Node& node);

  /// Sets the fault mode of the store.
  /// @param mode a mode of the store's stand-in, such as "up" or "silent".
  void setStoreMode(const std::string& mode);
  /// Makes the store handle each call later by this time.
  void setStoreDelay(Duration delay);
  /// Makes the store save a backup of its contents.
  void backUpStore();
  /// Makes the store restore the backup; later writes are lost.
  void restoreStore();
  /// Writes a configuration.
  /// @param routes path prefixes, such as "/search/" and "/orders/".
  void writeConfig(std::uint32_t version, const std::vector<std::string>& routes);
  ~RouterCluster();
  RouterCluster(const RouterCluster&) = delete;
  RouterCluster& operator=(const RouterCluster&) = delete;

  /// Starts a server and its router.
  /// @param service "search", which is divided by key, or "orders", whose requests are executed at most once.
  /// @param link_bytes_per_second bandwidth of the node's link; 0 means no limit.
  Node& addNode(const std::string& service, Duration work = std::chrono::milliseconds(5),
                double link_bytes_per_second = 0);

  /// Runs the loop until `done` or the test timeout.
  /// @return whether `done` held.
  bool runUntil(const std::function<bool()>& done);
  /// @return the file with the log lines of the node's routers.
  std::filesystem::path routerLogFile(const Node& node) const {
    return folder_ / ("router-" + node.settings.node.value + ".log");
  }

  /// @return a flag that becomes true after the time; the caller may discard it earlier.
  std::shared_ptr<const bool> timerFlag(Duration time);

  /// Runs the loop for the duration.
  void runFor(Duration duration);

  /// Runs until every node has served a request for every key of a sample.
  /// @return false if a node did not do so within its tries.
  bool runUntilServing();

  /// Sends a request to a node as a client does.
  /// @return the outcome, which is filled in while the loop runs.
  std::shared_ptr<ClientResponse> send(Node& node, const std::string& target, const std::string& key = {});

  /// Sends a request and runs the loop until it has completed.
  ClientResponse sendAndWait(Node& node, const std::string& target, const std::string& key = {});

  /// Repeats a request at each node until the node responds with this status.
  /// @return whether all nodes did so within the time limit.
  bool allNodesRespond(const std::string& target, int status, Duration limit);

  EventLoop& loop() { return loop_; }
  std::vector<std::unique_ptr<Node>>& nodes() { return nodes_; }

 private:
  void sendOperatorRequest(HttpRequest request);
  void startServer(Node& node);
  void startRouter(Node& node);

  GrantDelivery grants_;
  EventLoop loop_;
  std::filesystem::path folder_;
  platform::ClientProtocolImpl clients_;
  platform::ServerProtocolImpl servers_;
  platform::ReportProtocolImpl reports_;
  platform::ConfigProtocolImpl config_;
  IdempotencyKeyClientProtocol idempotency_key_clients_;
  IdempotencyKeyConfigProtocol idempotency_key_config_;
  std::unique_ptr<standins::MetadataServer> store_;
  std::unique_ptr<HttpClient> operator_client_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::uint64_t last_request_ = 0;
  std::string zone_;
  Duration grace_ = StopConfig{}.grace;
  std::size_t service_plan_from_ = OwnershipConfig{}.service_plan_from;
  Duration client_deadline_ = std::chrono::seconds(15);
  bool config_exists_ = false;
  bool idempotency_keys_required_ = false;
  std::string idempotency_key_;
  std::string fatal_path_;
  std::uint32_t shared_writes_from_ = 0;
  bool keep_server_ids_ = false;
  std::size_t fatal_requests_started_ = 0;
  std::size_t server_crashes_ = 0;
};

}  // namespace shedlever::test
