#pragma once

/// @file
/// One deployment of real processes on loopback: routers, a server beside each, the store, and proxies between them.

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/fault_proxy.h"
#include "soak/run_checks.h"
#include "source/net/http_client.h"
#include "test/support/child_process.h"

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
};

class SoakWorld {
 public:
  SoakWorld(EventLoop& loop, SoakConfig config);
  ~SoakWorld();

  /// Starts all, makes faults, heals them, checks.
  /// @return what was broken.
  std::vector<std::string> run();

  const RunChecks& checks() const { return checks_; }

 private:
  struct Node;

  void startAll();
  void startRouter(Node& node);
  void startServer(Node& node);
  void writeConfig();
  void post(const Endpoint& to, const std::string& path, const std::string& body);
  void runFor(Duration span);
  void load();
  void sendOne();
  void fault();
  void faultProcess(Node& node);
  void faultLink(Node& node);
  void faultStore();
  void faultServer(Node& node);
  void keepRunning();
  void heal();
  void checkRecovery();
  void note(const std::string& what);
  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

  EventLoop& loop_;
  SoakConfig config_;
  std::mt19937_64 random_;
  RunChecks checks_;
  std::vector<std::string> broken_;
  Endpoint store_endpoint_;
  std::unique_ptr<test::ChildProcess> store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::unique_ptr<HttpClient> store_control_;
  std::uint64_t config_version_ = 0;
  std::uint64_t last_request_ = 0;
  bool loading_ = false;
  /// While recovery is checked: requests sent and served.
  bool counting_ = false;
  std::size_t counted_ = 0;
  std::size_t counted_served_ = 0;
};

}  // namespace shedlever::soak
