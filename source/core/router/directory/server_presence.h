#pragma once

/// @file
/// State of the local server (the server on this process's node), from its reports and from the gate's observations.

#include <cstdint>

#include "shedlever/platform_ports.h"
#include "source/core/router/directory/report_filter.h"

namespace shedlever {

/// What a report has changed.
enum class PresenceChange : std::uint8_t {
  None,         ///< the report was late or from another server
  Updated,      ///< the same instance, possibly with other slots
  NewInstance,  ///< another instance of the server is running now
};

class ServerPresence {
 public:
  /// @param service, address of the server.
  ServerPresence(ServiceName service, Endpoint address) : filter_(std::move(service), std::move(address)) {}

  /// Handles a report that the server is running. Ignores whether it is leaving, see `startDraining`.
  PresenceChange onReport(const ServerReport& report);

  /// @return whether the report is from a server other than the present one that is not known to have ended. Either the
  ///   report was delayed since before the present server started, or the present server has ended unnoticed. For two
  ///   instances of one server the later start decides.
  bool contradicts(const ServerReport& report) const;
  /// @return whether the report is from this node's server and from an instance that is not known to have ended.
  bool isAcceptable(const ServerReport& report) const { return filter_.isAcceptable(report); }
  /// An instance other than the present one has ended; its late reports are rejected.
  void onEarlierInstanceEnded(const InstanceId& instance) { filter_.markEnded(instance); }

  /// An instance of the server reported that it is leaving and will send no more reports.
  /// @return whether it is the present instance. Late reports of any other instance are rejected from now on.
  bool onLeaving(const ServerReport& report);

  /// The present instance accepts no new requests.
  /// @return false if that was known already.
  bool startDraining();

  /// The present instance is given up, as it accepts no connections; its later reports are rejected.
  void onGone();

  /// Sets whether the server fails to answer.
  void setSilent(bool silent) { silent_ = silent; }

  /// Empty while no server runs.
  const InstanceId& instance() const { return instance_; }
  std::uint32_t slots() const { return slots_; }
  /// @param reports_keys whether the server's heartbeats list the keys that it holds.
  /// @return whether the present instance is given up after a refused connection. A refusal does not prove that it has
  ///   ended: a leaving server may refuse connections while it still works and holds keys. If its heartbeats list keys,
  ///   they are needed to learn which ones it has released.
  bool refusalEndsUse(bool reports_keys) const { return !(draining_ && reports_keys); }

  bool draining() const { return draining_; }
  bool silent() const { return silent_; }

 private:
  ReportFilter filter_;
  InstanceId instance_;
  std::uint32_t slots_ = 0;
  bool draining_ = false;
  bool silent_ = false;
};

}  // namespace shedlever
