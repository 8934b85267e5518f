#pragma once

/// @file
/// A deployment of real processes on loopback: the store, and nodes that each run a server and a router.

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/fault_proxy.h"
#include "soak/loopback_ports.h"
#include "source/net/system_clock_and_random.h"
#include "test/support/child_process.h"

namespace shedlever::soak {

struct LocalDeploymentConfig {
  std::uint64_t seed = 1;
  /// Folder of the programs.
  std::string binary_folder;
  /// Existing folder for settings files and logs.
  std::string run_folder;
  /// "shedlever" or "platform".
  std::string interface_kind = "platform";
  unsigned request_duration_ms = 20;
  /// Whether servers receive their keys in the acknowledgements of their heartbeats.
  bool keys_by_heartbeat = false;
  /// Path of requests that crash servers; empty for none.
  std::string fatal_path;
  /// Router program of an earlier build with which all nodes begin; empty for none.
  std::string old_router;
  /// Memory of each node's machine, as the router's settings state it; 0 for none.
  std::size_t machine_memory_mb = 0;
};

/// A router, its server, and the proxies on the router's connections to the store and from peers.
struct LocalNode {
  std::string name;
  std::string service;
  /// Whether the service is divided by key.
  bool divided_by_key = false;
  /// Whether a restarted server keeps its id.
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
  /// Null while the process is not running.
  std::unique_ptr<test::ChildProcess> router_process;
  /// Whether the next router process is of the earlier build.
  bool runs_old_router = false;
  std::unique_ptr<test::ChildProcess> server_process;
  /// Earlier servers of the node that still run beside it.
  std::vector<std::unique_ptr<test::ChildProcess>> earlier_servers;
  /// Time from the start of the next server process until its first heartbeat, in milliseconds.
  unsigned first_report_ms = 0;
  /// Whether the process was stopped by SIGSTOP.
  bool router_paused = false;
  bool server_paused = false;
  /// Whether the process is started again after it has ended.
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
  /// Kills the store, which leaves its address free.
  void killStore() { store_.reset(); }
  /// Starts a node's server and router.
  LocalNode& addNode(const std::string& service, bool divided);

  /// Kills the node's processes permanently and assigns its addresses to a new node of the service. The new processes
  /// are started by `restartExitedProcesses`.
  void replaceNode(LocalNode& node, const std::string& service, bool divided);

  /// Kills the node's server and states the end in the server's log.
  void killServer(LocalNode& node);
  /// Kills the node's server and starts its successor without a pause.
  /// @param first_report_ms time from the start until the first heartbeat, in milliseconds.
  void restartServerAtOnce(LocalNode& node, unsigned first_report_ms);
  /// Starts a second server at the address of one that has stopped listening and still runs.
  void startSuccessor(LocalNode& node, unsigned first_report_ms);
  void pauseRouter(LocalNode& node);
  void pauseServer(LocalNode& node);
  /// Lets a paused process run again and states that in the server's log, because commands that waited do not count
  /// as holds. Do nothing if the process is not paused.
  void resumeRouter(LocalNode& node);
  void resumeServer(LocalNode& node);

  /// Starts the processes that have ended and are to be restarted.
  /// @return one sentence for each router that ended with an error and not by SIGKILL.
  std::vector<std::string> restartExitedProcesses();

  /// Runs a program until it ends.
  /// @return its exit status; -1 if it could not be started, was ended by a signal or exceeded the time limit.
  int runProgram(const std::string& program, const std::vector<std::string>& arguments, Duration limit);

  /// Runs the event loop for the duration.
  void runFor(Duration duration);

  const Endpoint& store() const { return store_endpoint_; }
  std::vector<std::unique_ptr<LocalNode>>& nodes() { return nodes_; }
  /// Log files of all servers of the run, those of replaced nodes included.
  const std::vector<std::string>& serverLogs() const { return server_logs_; }
  const LocalDeploymentConfig& config() const { return config_; }

 private:
  /// Assigns an unused name, and files named after it, to the node.
  void assignName(LocalNode& node);
  void startRouter(LocalNode& node);
  void startServer(LocalNode& node);
  /// Appends an event to the log of the node's server.
  void addToServerLog(const LocalNode& node, const std::string& event) const;
  void kill(const LocalNode& node, test::ChildProcess& server);
  void resume(const LocalNode& node, test::ChildProcess& process, const std::string& event);
  std::string logFileOf(const std::string& name) const { return config_.run_folder + "/" + name + ".log"; }

  EventLoop& loop_;
  LocalDeploymentConfig config_;
  std::mt19937_64 random_;
  LoopbackPorts ports_;
  /// The clock of the servers' logs.
  BootTimeClock clock_;
  Endpoint store_endpoint_;
  std::unique_ptr<test::ChildProcess> store_;
  std::vector<std::unique_ptr<LocalNode>> nodes_;
  std::vector<std::string> server_logs_;
};

}  // namespace shedlever::soak
