#pragma once

/// @file
/// What a process knows of the server beside it, from the server's reports and from what its gate has seen.

#include <cstdint>

#include "shedlever/platform_ports.h"
#include "source/core/router/report_filter.h"

namespace shedlever {

/// What a report has changed.
enum class PresenceChange : std::uint8_t {
  None,         ///< it was late, or not of this server
  Updated,      ///< the same life, perhaps with other slots
  NewInstance,  ///< another life of the server runs now
};

class ServerPresence {
 public:
  /// @param service, address of the server.
  ServerPresence(ServiceName service, Endpoint address) : filter_(std::move(service), std::move(address)) {}

  /// The server said that it runs. Whether it leaves is told by `startDraining`.
  PresenceChange onReport(const ServerReport& report);

  /// @return whether the report is of another server than the present one, which is not known to have ended. It may
  /// have been held up since before the present one; or the present one has ended unnoticed. Of one server's lives the
  /// later start tells which runs.
  bool contradicts(const ServerReport& report) const;
  /// A life that is not the present one has ended; late reports of it don't count.
  void onEarlierInstanceEnded(const InstanceId& instance) { filter_.markEnded(instance); }

  /// A life of the server said that it leaves and reports no more.
  /// @return whether it is the present one. Another one never counts again, whatever comes late.
  bool onLeaving(const ServerReport& report);

  /// The present life takes nothing new.
  /// @return false when that is known.
  bool startDraining();

  /// The present life is dead for sure; late reports of it don't count.
  void onGone();

  /// It does not answer, or does again.
  void setSilent(bool silent) { silent_ = silent; }

  /// Empty while no server runs.
  const InstanceId& instance() const { return instance_; }
  std::uint32_t slots() const { return slots_; }
  /// @param reports_keys its heartbeats tell which keys it holds.
  /// @return whether a refused connection proves that it has ended. A leaving server may take no connections any more
  ///   while it still works and holds keys; what it holds is then told by its heartbeats alone.
  bool refusalProvesEnd(bool reports_keys) const { return !(draining_ && reports_keys); }

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
