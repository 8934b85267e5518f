#pragma once

/// @file
/// Decides whether a router process that has just started may use the server that reports to it. An earlier process of
/// the node may have acknowledged that this server leaves, and the report may have been sent before that.

#include <cstdint>
#include <optional>

#include "shedlever/platform_ports.h"
#include "shedlever/server_health.h"
#include "shedlever/time.h"

namespace shedlever {

/// Why a server may be used.
enum class VerificationGround : std::uint8_t {
  NoEarlierProcess,  ///< no process of this node has run before
  HealthCheck,       ///< the server says that it is healthy and not leaving
  SaysLeaving,       ///< the server says that it is leaving: it gets no requests, but hands its keys over
  NothingKnown,      ///< the health check shows nothing, and no notice is recorded
  StillReporting,    ///< it reports for longer than any report is late, so that it has not left
};

/// @return the name for logs.
const char* toString(VerificationGround ground);

/// Only the first server that a process uses is verified: the process itself remembers the notices of later ones.
class InstanceVerification {
 public:
  /// The store had no record of this node when this process wrote its own.
  void onNoEarlierProcess();
  /// The record of an earlier process was read. Its notices are checked by the caller.
  void onEarlierRecord();

  /// Handles a report that does not say that the server is leaving. While one instance is verified, reports of another
  /// one are ignored, unless a health check was answered by that one.
  /// @return whether the report is now the one to be used.
  bool onReport(const ServerReport& report, TimePoint now);
  /// @param check the latest health check at the address of the server.
  void onHealthCheck(const HealthCheckResult& check);

  /// @return the newest report of the instance that is verified; null if none is.
  const ServerReport* pending() const { return pending_ ? &*pending_ : nullptr; }
  /// @return why the pending report may be used; std::nullopt while it must not be.
  std::optional<VerificationGround> groundForUse(TimePoint now) const;

  /// Drops the pending report, because the server has left.
  void dropPending() { pending_.reset(); }
  /// A server is in use; nothing is verified any more.
  void finish();
  bool finished() const { return finished_; }

 private:
  enum class EarlierProcess : std::uint8_t { Unknown, None, Recorded };

  bool replacesPending(const ServerReport& report) const;

  EarlierProcess earlier_process_ = EarlierProcess::Unknown;
  std::optional<ServerReport> pending_;
  TimePoint first_report_at_{};
  TimePoint last_report_at_{};
  /// The last thing that a health check has shown of the pending instance.
  ServerHealth health_ = ServerHealth::Unknown;
  bool says_leaving_ = false;
  /// The pending instance has answered a health check.
  bool answered_ = false;
  /// Another server that has answered a health check; empty if none has.
  ServerId other_server_;
  bool finished_ = false;
};

}  // namespace shedlever
