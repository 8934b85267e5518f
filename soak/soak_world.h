#pragma once

/// @file
/// Random faults on a deployment of real processes under load, and what must hold meanwhile.

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/config_probe.h"
#include "soak/fatal_requests.h"
#include "soak/local_deployment.h"
#include "soak/store_restores.h"
#include "source/lab/check/run_checks.h"
#include "source/net/http_client.h"

namespace shedlever::soak {

struct SoakConfig {
  std::uint64_t seed = 1;
  /// Faults are made for so long; then everything is healed and must serve again.
  Duration faults_for = std::chrono::seconds(60);
  /// Where the programs are.
  std::string binaries;
  /// For settings and logs.
  std::string folder;
  int requests_per_second = 120;
  /// Servers take their keys in the acknowledgements of their heartbeats.
  bool keys_by_heartbeat = false;
  /// Only what operators plan, and a store that is silent for a second now and then: routers that stop in turn, servers
  /// that leave, configurations that change, all overlapping. More must hold then: no request that a server has begun
  /// is cut, and each configuration is in force everywhere soon.
  bool planned_only = false;
  /// Only requests under which servers end, brought at machines of four services.
  bool fatal_only = false;
  /// Beside all else the store goes away now and then and comes back from a copy of an earlier state.
  bool restores = false;
};

class SoakWorld {
 public:
  SoakWorld(EventLoop& loop, SoakConfig config);
  ~SoakWorld();

  /// Starts all, makes faults, heals them, checks.
  /// @return what was broken.
  std::vector<std::string> run();

  const check::HistoryChecker& checks() const { return checks_; }

 private:
  void startAll();
  /// @return the service of a node whose service is not divided by key.
  std::string otherService(std::size_t node) const;
  /// Writes the next version.
  void writeConfig();
  /// Writes the newest version again, as the store may have lost it.
  void writeConfigAgain();
  void sendConfig(const std::string& method, const std::string& path);
  StoreRestores::Ports restorePorts();
  void post(const Endpoint& to, const std::string& path, const std::string& body);
  void load();
  void sendOne();
  void fault();
  void faultProcess(LocalNode& node);
  void faultLink(LocalNode& node);
  void faultStore();
  void faultServer(LocalNode& node);
  /// The node is lost for good, and its addresses go to a node of the other service.
  void replaceNode(LocalNode& node);
  void plannedWork();
  /// The next event of the kind that the run is about.
  void disturb();
  void stopSome();
  /// Two changes close together, then a silent store: the watches that follow are swallowed.
  void silenceAfterChanges();
  void keepRunning();
  void heal();
  void checkRecovery();
  void note(const std::string& what);
  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

  EventLoop& loop_;
  SoakConfig config_;
  std::mt19937_64 random_;
  check::HistoryChecker checks_;
  std::vector<std::string> broken_;
  LocalDeployment deployment_;
  /// One to each node.
  std::vector<std::unique_ptr<HttpClient>> clients_;
  FatalRequests fatal_{clients_};
  ConfigProbe probe_{loop_, clients_};
  StoreRestores restores_;
  std::unique_ptr<HttpClient> store_control_;
  std::uint64_t config_version_ = 0;
  std::size_t next_stopped_ = 0;
  std::uint64_t last_request_ = 0;
  bool loading_ = false;
  /// While recovery is checked: requests sent and served.
  bool counting_ = false;
  std::size_t counted_ = 0;
  std::size_t counted_served_ = 0;
};

}  // namespace shedlever::soak
