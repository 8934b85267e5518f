#pragma once

/// @file
/// Repeatedly holds the traffic of one node's peer link, as a full link does, and stops routers meanwhile.

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "soak/local_deployment.h"
#include "source/net/event_loop.h"

namespace shedlever::soak {

/// Holds come in series on one node; one link at a time is held, each for 1.0 to 1.9 s. All connections of the link are
/// held together; held bytes are forwarded afterwards, none is lost.
class PeerLinkHolds {
 public:
  struct Callbacks {
    /// Tells the node's router to stop.
    std::function<void(LocalNode& node)> stop_router;
    /// Appends a line to the log of injected faults.
    std::function<void(const std::string& what)> log_fault;
  };

  PeerLinkHolds(EventLoop& loop, std::uint64_t seed, LocalDeployment& deployment, Callbacks callbacks);
  ~PeerLinkHolds() { *alive_ = false; }
  PeerLinkHolds(const PeerLinkHolds&) = delete;
  PeerLinkHolds& operator=(const PeerLinkHolds&) = delete;

  void start() { startSeries(); }
  /// Starts no further holds or stops; a hold in progress still ends.
  void stop() { stopped_ = true; }
  /// @return the number of holds.
  std::size_t count() const { return count_; }

 private:
  void startSeries();
  void hold(LocalNode& node, std::uint64_t remaining_holds);
  void release(LocalNode& node, std::uint64_t remaining_holds);
  /// Stops the router of the node or that of any node.
  void stopRouterDuringHold(LocalNode& held);
  LocalNode& randomNode();
  std::uint64_t randomBetween(std::uint64_t min, std::uint64_t max) { return min + random_() % (max - min + 1); }
  void runAfter(std::uint64_t delay_ms, std::function<void()> step);

  EventLoop& loop_;
  std::mt19937_64 random_;
  LocalDeployment& deployment_;
  Callbacks callbacks_;
  std::size_t count_ = 0;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever::soak
