#pragma once

/// @file
/// Routers, servers and the store in one process, on one event loop and over loopback: whole paths.

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

namespace shedlever::test {

/// A request's end as its client saw it.
struct ClientResponse {
  bool completed = false;
  HttpExchangeStatus status = HttpExchangeStatus::NeverSent;
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

  /// @param grants how the servers of "search" take their keys.
  explicit RouterCluster(GrantDelivery grants = GrantDelivery::Request);

  /// Zone of nodes that are added from now on; with it operators may evacuate zones.
  void setZone(const std::string& zone) { zone_ = zone; }
  /// Asks that the servers of the zone get nothing, or takes that back.
  void evacuate(const std::string& zone, bool evacuated);
  /// Of routers that are added from now on.
  void setStopGrace(Duration grace) { grace_ = grace; }
  /// How long clients say that they wait, of requests that are sent from now on.
  void setClientDeadline(Duration deadline) { client_deadline_ = deadline; }

  /// Path of a request under which servers end; each is back at once, as a new life. Of servers added from now on.
  void setFatalPath(const std::string& path) { fatal_path_ = path; }
  /// Whether servers keep their ids when they start again. Of servers added from now on.
  void setKeepServerIds(bool keeps) { keeps_ids_ = keeps; }
  /// The server beside a node ends, and starts again at once.
  void restartServer(Node& node);
  /// @return how many such requests have begun at a server, and how many servers have ended.
  std::size_t fatalRequestsStarted() const { return fatal_begun_; }
  std::size_t serverCrashes() const { return servers_ended_; }
  /// The process beside a server ends as by a kill, and another one starts in its place.
  void restartRouter(Node& node);

  /// Sets the store's faults. @param mode as the store's stand-in takes it: "up", "silent", ...
  void setStoreMode(const std::string& mode);
  /// The store keeps a copy of all that it holds.
  void backUpStore();
  /// The store goes back to the copy: what was written since is gone.
  void restoreStore();
  /// Writes a configuration. @param routes by path prefix: "/search/", "/orders/".
  void writeConfig(std::uint32_t version, const std::vector<std::string>& routes);
  ~RouterCluster();
  RouterCluster(const RouterCluster&) = delete;
  RouterCluster& operator=(const RouterCluster&) = delete;

  /// Starts a server and the router beside it. Services: "search", divided by key, and "orders", once-only.
  /// @param link_bytes_per_second what the machine's link carries; 0: no limit.
  Node& addNode(const std::string& service, Duration work = std::chrono::milliseconds(5),
                double link_bytes_per_second = 0);

  /// Runs the loop until `done`.
  bool runUntil(const std::function<bool()>& done);

  /// @return a flag that is set after that time; whoever asked for it may be gone by then.
  std::shared_ptr<const bool> timerFlag(Duration time);

  /// Runs the loop for a while.
  void runFor(Duration time);

  /// Runs until every node answers a request for every key of a sample.
  bool runUntilServing();

  /// Sends a request to a node as a client does; the answer comes while the loop runs.
  std::shared_ptr<ClientResponse> send(Node& node, const std::string& target, const std::string& key = {});

  /// As `send`, and runs until it has ended.
  ClientResponse sendAndWait(Node& node, const std::string& target, const std::string& key = {});

  /// @return whether all nodes answer a request with this status before the time is over.
  bool allNodesRespond(const std::string& target, int status, Duration limit);

  EventLoop& loop() { return loop_; }
  std::vector<std::unique_ptr<Node>>& nodes() { return nodes_; }

 private:
  void callOperator(HttpRequest request);
  void startServer(Node& node);
  void startRouter(Node& node);

  GrantDelivery grants_;
  EventLoop loop_;
  std::filesystem::path folder_;
  platform::ClientProtocolImpl clients_;
  platform::ServerProtocolImpl servers_;
  platform::ReportProtocolImpl reports_;
  platform::ConfigProtocolImpl config_;
  std::unique_ptr<standins::MetadataServer> store_;
  std::unique_ptr<HttpClient> operator_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::uint64_t last_request_ = 0;
  std::string zone_;
  Duration grace_ = StopConfig{}.grace;
  Duration client_deadline_ = std::chrono::seconds(15);
  bool config_exists_ = false;
  std::string fatal_path_;
  bool keeps_ids_ = false;
  std::size_t fatal_begun_ = 0;
  std::size_t servers_ended_ = 0;
};

}  // namespace shedlever::test
