#pragma once

/// @file
/// Distributes the quarantine of requests that crash servers: observes crashes of the local server, exchanges crash
/// reports with peers, and determines which quarantined requests are stored in this node's record.

#include <functional>
#include <vector>

#include "source/core/router/directory/server_directory.h"
#include "source/core/router/quarantine/crash_quarantine.h"
#include "source/router/event_log.h"
#include "source/router/router_metrics.h"

namespace shedlever {

/// Crash reports are flooded over the streams between processes, so that they also reach processes to which the sender
/// has no connection. A process may receive a report more than once. Quarantined requests are also stored in the
/// records of the nodes that observed one of the crashes; node records survive the failure of all processes.
class QuarantineCoordinator {
 public:
  struct Ports {
    const Clock* clock = nullptr;
    EventLog* log = nullptr;
    RouterMetrics* metrics = nullptr;
    /// Sends a frame over the streams of all connected peers.
    std::function<void(const ServerCrashesFrame&)> broadcast;
    /// Called when the set of quarantined requests has changed.
    std::function<void()> on_change;
  };

  QuarantineCoordinator(const QuarantineConfig& config, Ports ports);

  void setConfig(const QuarantineConfig& config) { quarantine_.setConfig(config); }

  const CrashQuarantine& quarantine() const { return quarantine_; }

  /// An instance of the local server ended that had not announced its shutdown.
  void onServerCrash(const InstanceId& instance, const std::vector<RequestFingerprint>& unanswered);
  /// The local server has answered the request without a server error.
  void onServed(const RequestFingerprint& request);
  /// A peer has sent crash reports.
  void onCrashesFrame(const ServerCrashesFrame& received);
  /// A node record was read. @param own whether it is this node's record.
  void onRecord(const NodeRecord& record, bool own);

  /// @return the frame for a peer that has just been connected.
  ServerCrashesFrame summary() const { return quarantine_.summary(ports_.clock->now()); }
  /// @return the quarantined requests that this node's record is to contain.
  std::vector<QuarantinedRequest> requestsToRecord() const;

  /// Removes expired state. Called about every 50 ms.
  void tick();

 private:
  /// Logs changes of the set of quarantined requests and calls `on_change`.
  void reportChanges(const char* cause);

  CrashQuarantine quarantine_;
  Ports ports_;
  TimePoint next_expiry_{};
  /// The quarantined requests at the last call of `reportChanges`.
  std::vector<RequestFingerprint> last_quarantined_;
};

}  // namespace shedlever
