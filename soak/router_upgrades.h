#pragma once

/// @file
/// Replaces routers of an earlier build by the newest one, one node after the other, and some back again.

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "soak/local_deployment.h"
#include "source/net/event_loop.h"

namespace shedlever::soak {

/// All nodes begin with the earlier build. One router after the other gets SIGTERM, and the router that starts in its
/// place is of the other build.
class RouterUpgrades {
 public:
  struct Callbacks {
    std::function<void(LocalNode& node)> stop_router;
    /// Appends a line to the log of injected faults.
    std::function<void(const std::string& what)> log_fault;
  };

  RouterUpgrades(EventLoop& loop, std::uint64_t seed, LocalDeployment& deployment, Callbacks callbacks);
  ~RouterUpgrades() { *alive_ = false; }
  RouterUpgrades(const RouterUpgrades&) = delete;
  RouterUpgrades& operator=(const RouterUpgrades&) = delete;

  void start() { scheduleNext(); }
  /// Replaces no further routers; the deployment stays as it is, with nodes of both builds.
  void stop() { stopped_ = true; }
  /// @return the number of routers that were replaced.
  std::size_t count() const { return count_; }

 private:
  void scheduleNext();
  void replaceNext();

  EventLoop& loop_;
  std::mt19937_64 random_;
  LocalDeployment& deployment_;
  Callbacks callbacks_;
  std::size_t next_node_ = 0;
  std::size_t count_ = 0;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever::soak
