#pragma once

/// @file
/// Injects random faults into a deployment of real processes under load and checks its guarantees.

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/config_probe.h"
#include "soak/fatal_requests.h"
#include "soak/leaving_servers.h"
#include "soak/local_deployment.h"
#include "soak/peer_link_holds.h"
#include "soak/router_upgrades.h"
#include "soak/server_conditions.h"
#include "soak/store_restores.h"
#include "source/lab/check/condition_checker.h"
#include "source/lab/check/history_checker.h"
#include "source/net/http_client.h"
#include "source/net/system_clock_and_random.h"

namespace shedlever::soak {

struct SoakConfig {
  std::uint64_t seed = 1;
  /// Duration of fault injection; afterwards all faults end and the deployment must recover.
  Duration fault_duration = std::chrono::seconds(60);
  /// Folder of the programs.
  std::string binary_folder;
  /// Existing folder for settings files and logs.
  std::string run_folder;
  int requests_per_second = 120;
  /// Number of nodes, half of them of the service that is divided by key. With a few dozen, each process gets little
  /// processor time.
  std::size_t nodes = 6;
  /// Whether servers receive their keys in the acknowledgements of their heartbeats.
  bool keys_by_heartbeat = false;
  /// Injects only maintenance by operators, overlapping in time (router stops, server drains and configuration
  /// changes), short outages of the store, and peer links that hold traffic for a while, as full links do. Also checks
  /// that no request is interrupted after a server has begun it, and that every node activates each probed
  /// configuration in time.
  bool maintenance_only = false;
  /// Sends only requests that crash servers, through nodes of four services.
  bool fatal_only = false;
  /// In addition, repeatedly interrupts the store and restores it from a backup.
  bool restore_store = false;
  /// Router program of an earlier build. All nodes begin with it and are replaced by the newest one in turn, some back
  /// again.
  std::string old_router;
};

class SoakRunner {
 public:
  SoakRunner(EventLoop& loop, SoakConfig config);
  ~SoakRunner();

  /// Starts the deployment, injects faults, ends them and checks the results.
  /// @return one sentence for each violation.
  std::vector<std::string> run();

  const check::HistoryChecker& checks() const { return checks_; }
  const check::ConditionChecker& conditionChecks() const { return condition_checks_; }

 private:
  void startAll();
  /// A failure of a request after this time counts as a timeout.
  Duration routeTimeout() const;
  Duration requestDeadline() const;
  /// The time for which clients wait for a response.
  Duration clientTimeout() const;
  /// @return the service, not divided by key, of the node with this index.
  std::string undividedService(std::size_t node) const;
  /// Writes the next version of the configuration.
  void writeConfig();
  /// Writes the newest version again, because a restored store may lack it.
  void writeConfigAgain();
  void sendConfig(const std::string& method, const std::string& path);
  StoreRestores::Callbacks restoreCallbacks();
  void post(const Endpoint& to, const std::string& path, const std::string& body);
  void generateLoad();
  void sendRandomRequest();
  /// @return a name of the node's running router process that no other process has; empty if none is running.
  static std::string processOf(const LocalNode& node);
  /// Takes a response in which a server says that it is leaving into account.
  void checkLeaving(const std::string& process, const HttpResponse& response);
  /// @return whether servers name limits, say that they are leaving, and leave in the ways of `LeavingServers`. Earlier
  ///   builds may not heed that.
  bool changesConditions() const { return !config_.fatal_only && config_.old_router.empty(); }
  /// Adds the violations that only some kinds of runs are checked for.
  void addViolationsOfThisKind(std::vector<std::string>& violations);
  void injectFault();
  void injectRouterFault(LocalNode& node);
  void injectLinkFault(LocalNode& node);
  void injectStoreFault();
  void injectServerFault(LocalNode& node);
  /// Kills the node permanently and assigns its addresses to a node of the other service, unless its service has too
  /// few nodes.
  void replaceNode(LocalNode& node);
  void injectMaintenance();
  /// Injects the next event of the kind that the configuration selects.
  void injectNextEvent();
  void stopRouters();
  /// Tells a router to stop, if it is running.
  void stopRouter(LocalNode& node);
  /// Makes two configuration changes in quick succession and blocks the store, which leaves the watches that follow
  /// without a response; then writes a third version and probes for it.
  void blockStoreAfterConfigChanges();
  void restartExitedProcesses();
  void endFaults();
  void checkRecovery();
  void logFault(const std::string& what);
  std::uint64_t randomBelow(std::uint64_t bound) { return random_() % bound; }

  EventLoop& loop_;
  SoakConfig config_;
  std::mt19937_64 random_;
  BootTimeClock clock_;
  check::HistoryChecker checks_;
  check::ConditionChecker condition_checks_;
  std::vector<std::string> violations_;
  LocalDeployment deployment_;
  /// One client per node.
  std::vector<std::unique_ptr<HttpClient>> clients_;
  FatalRequests fatal_{clients_};
  ConfigProbe probe_{loop_, clients_};
  StoreRestores restores_;
  PeerLinkHolds peer_link_holds_;
  ServerConditions server_conditions_;
  LeavingServers leaving_servers_;
  RouterUpgrades router_upgrades_;
  std::unique_ptr<HttpClient> store_control_;
  std::uint64_t config_version_ = 0;
  std::size_t next_router_to_stop_ = 0;
  std::uint64_t last_request_ = 0;
  bool generating_load_ = false;
  /// Whether requests count towards the recovery check.
  bool measuring_recovery_ = false;
  std::size_t recovery_requests_ = 0;
  std::size_t recovery_served_ = 0;
};

}  // namespace shedlever::soak
