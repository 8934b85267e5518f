#pragma once

/// @file
/// Keeps all processes of one mind about requests under which servers end: sees the ends of the server beside this one,
/// tells the others, hears from them, and says what this node's record is to name.

#include <functional>
#include <vector>

#include "source/core/router/quarantine/crash_quarantine.h"
#include "source/core/router/server_directory.h"
#include "source/router/event_log.h"
#include "source/router/router_metrics.h"

namespace shedlever {

/// News go over the streams between processes, twice where two processes have a stream each, and past any process that
/// is cut off. What is quarantined also stands in the records of the nodes that saw one of the ends, which outlive all
/// processes; that costs a write of two or three records a request, and nothing while there is none.
class QuarantineCoordinator {
 public:
  struct Ports {
    const Clock* clock = nullptr;
    EventLog* log = nullptr;
    RouterMetrics* metrics = nullptr;
    /// Tells all processes that a stream leads to or from.
    std::function<void(const ServerCrashesFrame&)> broadcast;
    /// Requests are quarantined that were not, or are free again.
    std::function<void()> on_change;
  };

  QuarantineCoordinator(const QuarantineConfig& config, Ports ports);

  void setConfig(const QuarantineConfig& config) { quarantine_.setConfig(config); }

  const CrashQuarantine& quarantine() const { return quarantine_; }

  /// A life of the server beside this process ended that had not said that it leaves.
  void onServerCrash(const InstanceId& instance, const std::vector<RequestFingerprint>& unanswered);
  /// The server beside this process has answered the request.
  void onServed(const RequestFingerprint& request);
  /// Another process has told this.
  void onCrashesFrame(const ServerCrashesFrame& told);
  /// A node's record was read. @param own of this node.
  void onRecord(const NodeRecord& record, bool own);

  /// @return what a process is to be told that has just been reached.
  ServerCrashesFrame summary() const { return quarantine_.summary(ports_.clock->now()); }
  /// @return what this node's record is to name.
  std::vector<QuarantinedRequest> requestsToRecord() const;

  /// Forgets what is old. Every 50 ms or so.
  void tick();

 private:
  /// Logs what has become quarantined or free, and says so.
  void reportChanges(const char* cause);

  CrashQuarantine quarantine_;
  Ports ports_;
  TimePoint next_expiry_{};
  /// Quarantined when that was last looked at.
  std::vector<RequestFingerprint> last_quarantined_;
};

}  // namespace shedlever
