#pragma once

/// @file
/// Makes servers leave in ways in which their processes and their listening sockets do not end together.

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "soak/local_deployment.h"
#include "source/net/event_loop.h"

namespace shedlever::soak {

/// Lets random servers leave again and again, several at the same time. At least one server of each service stays.
class LeavingServers {
 public:
  struct Callbacks {
    /// Sends the body to the condition interface of the node's server.
    std::function<void(const LocalNode& node, const std::string& body)> set_condition;
    /// Appends a line to the log of injected faults.
    std::function<void(const std::string& what)> log_fault;
  };

  /// @param may_kill whether servers are also killed, which interrupts the requests that they execute.
  LeavingServers(EventLoop& loop, std::uint64_t seed, LocalDeployment& deployment, bool may_kill, Callbacks callbacks);
  ~LeavingServers() { *alive_ = false; }
  LeavingServers(const LeavingServers&) = delete;
  LeavingServers& operator=(const LeavingServers&) = delete;

  void start() { scheduleNext(); }
  /// Lets no further servers leave; those that have begun to still do.
  void stop() { stopped_ = true; }
  /// @return the number of servers that were told to leave.
  std::size_t count() const { return count_; }

 private:
  void scheduleNext();
  void letRandomServerLeave();
  bool mayLeave(const LocalNode& node) const;
  /// The server stops listening while it works on. @param drains whether it reports first that it drains.
  void stopListening(LocalNode& node, bool drains);
  void leaveSlowly(LocalNode& node);
  /// Kills the server and starts its successor without a pause, which reports late.
  void restartAtOnce(LocalNode& node);
  /// The server stops listening and its successor listens at the same address while it still runs.
  void startSuccessorBeside(LocalNode& node);
  void tellToLeave(LocalNode& node, const std::string& way, const std::string& body, std::uint64_t end_ms);
  std::uint64_t randomBetween(std::uint64_t min, std::uint64_t max) { return min + random_() % (max - min + 1); }
  bool randomBool() { return random_() % 2 == 0; }
  /// @return 0, or a time in milliseconds around that which servers of the platform need for their first report.
  unsigned randomFirstReportMs();
  void runAfter(std::uint64_t delay_ms, std::function<void()> step);

  EventLoop& loop_;
  std::mt19937_64 random_;
  LocalDeployment& deployment_;
  bool may_kill_;
  Callbacks callbacks_;
  /// Names of the nodes whose servers were told to leave and have not ended yet.
  std::set<std::string> leaving_;
  std::size_t count_ = 0;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever::soak
