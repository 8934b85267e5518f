#pragma once

/// @file
/// One deployment of real processes on loopback: the store, and nodes of a server with a router beside it.

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/fault_proxy.h"
#include "soak/loopback_ports.h"
#include "test/support/child_process.h"

namespace shedlever::soak {

struct LocalDeploymentConfig {
  std::uint64_t seed = 1;
  /// Where the programs are.
  std::string binary_folder;
  /// For settings and logs; exists.
  std::string run_folder;
  /// "shedlever" or "platform".
  std::string interface_kind = "platform";
  unsigned request_duration_ms = 20;
  /// Servers take their keys in the acknowledgements of their heartbeats.
  bool keys_by_heartbeat = false;
  /// Path of a request under which servers end; empty for none.
  std::string fatal_path;
};

/// A router, the server beside it, and the proxies on the router's links.
struct LocalNode {
  std::string name;
  std::string service;
  /// Whether the service is divided by key.
  bool divided_by_key = false;
  /// Whether the server starts again under the id that it had.
  bool keeps_server_id = false;
  Endpoint clients;
  Endpoint peers;
  Endpoint readiness;
  Endpoint reports;
  Endpoint server;
  std::string settings_file;
  std::string server_log;
  std::unique_ptr<FaultProxy> store_link;
  std::unique_ptr<FaultProxy> peer_link;
  /// Null while the process does not run.
  std::unique_ptr<test::ChildProcess> router_process;
  std::unique_ptr<test::ChildProcess> server_process;
  /// Whether it is started again when it has ended.
  bool restart_router = true;
  bool restart_server = true;
};

class LocalDeployment {
 public:
  LocalDeployment(EventLoop& loop, LocalDeploymentConfig config);
  ~LocalDeployment();
  LocalDeployment(const LocalDeployment&) = delete;
  LocalDeployment& operator=(const LocalDeployment&) = delete;

  void startStore();
  /// Starts a node's server and router.
  LocalNode& addNode(const std::string& service, bool divided);

  /// The node and its server are lost for good; a new node of that service gets its addresses. Its processes are
  /// started by `restartExitedProcesses`.
  void replaceNode(LocalNode& node, const std::string& service, bool divided);

  /// Starts again what has ended and is wanted.
  /// @return how routers ended that nobody told to end, in words.
  std::vector<std::string> restartExitedProcesses();

  /// Runs a program to its end.
  /// @return its exit status; -1 when a signal or the cap ended it.
  int runProgram(const std::string& program, const std::vector<std::string>& arguments, Duration cap);

  void runFor(Duration span);

  const Endpoint& store() const { return store_endpoint_; }
  std::vector<std::unique_ptr<LocalNode>>& nodes() { return nodes_; }
  /// Logs of all servers there have been.
  const std::vector<std::string>& serverLogs() const { return server_logs_; }
  const LocalDeploymentConfig& config() const { return config_; }

 private:
  /// Gives the node a name that no node had before, and files by it.
  void nameNode(LocalNode& node);
  void startRouter(LocalNode& node);
  void startServer(LocalNode& node);
  std::string logOf(const std::string& name) const { return config_.run_folder + "/" + name + ".log"; }

  EventLoop& loop_;
  LocalDeploymentConfig config_;
  std::mt19937_64 random_;
  LoopbackPorts ports_;
  Endpoint store_endpoint_;
  std::unique_ptr<test::ChildProcess> store_;
  std::vector<std::unique_ptr<LocalNode>> nodes_;
  std::vector<std::string> server_logs_;
};

}  // namespace shedlever::soak
