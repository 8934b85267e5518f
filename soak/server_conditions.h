#pragma once

/// @file
/// Makes servers name request limits, change and drop them, and say that they are leaving.

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "soak/local_deployment.h"
#include "source/net/event_loop.h"

namespace shedlever::soak {

/// Changes the condition of random servers again and again. A server that leaves is ended after its drain time.
class ServerConditions {
 public:
  struct Callbacks {
    /// Sends the body to the condition interface of the node's server.
    std::function<void(const LocalNode& node, const std::string& body)> set_condition;
    /// Appends a line to the log of injected faults.
    std::function<void(const std::string& what)> log_fault;
  };

  ServerConditions(EventLoop& loop, std::uint64_t seed, LocalDeployment& deployment, Callbacks callbacks);
  ~ServerConditions() { *alive_ = false; }
  ServerConditions(const ServerConditions&) = delete;
  ServerConditions& operator=(const ServerConditions&) = delete;

  void start() { scheduleNext(); }
  /// Starts no further changes and ends all limits.
  void stop();

  /// @return whether the node's server names a limit. A paused server would start all requests of that time at once.
  bool namesLimit(const LocalNode& node) const { return limited_.contains(node.name); }

 private:
  void scheduleNext();
  void changeRandomServer();
  void nameLimit(LocalNode& node);
  void endLimit(const std::string& node_name);
  void leave(LocalNode& node);
  std::uint64_t randomBelow(std::uint64_t bound) { return random_() % bound; }
  void runAfter(Duration delay, std::function<void()> step);

  EventLoop& loop_;
  std::mt19937_64 random_;
  LocalDeployment& deployment_;
  Callbacks callbacks_;
  /// Names of the nodes whose servers name a limit.
  std::set<std::string> limited_;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever::soak
