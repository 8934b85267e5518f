#pragma once

/// @file
/// What is known of the request rates that a server takes: while it is cold, and by the limit that it names.

#include <optional>

#include "shedlever/server_condition.h"
#include "shedlever/time.h"
#include "source/core/router/admission/named_limit.h"
#include "source/core/router/admission/slot_queue.h"

namespace shedlever {

/// Keeps the limits of a server's queue up to date.
class ServerLimits {
 public:
  /// @param queue outlives the object.
  explicit ServerLimits(SlotQueue& queue) : queue_(queue) {}

  /// Another instance of the server runs: it has named no limit yet.
  void onNewInstance();

  /// @param per_second request rate limit while the server is cold; 0: limited only by its slots.
  void setColdRate(double per_second, TimePoint now);
  /// Sets how much longer the server is cold, from its report.
  void setCold(Duration left, TimePoint now);
  /// The server may have become cold: treats it as cold until its next report.
  void assumeCold(TimePoint now);
  /// Ends the cold limit when the server is no longer cold; call regularly.
  void update(TimePoint now);

  /// The server may have named a limit to an earlier process: few requests start until a response shows whether it
  /// does.
  void assumeNamedLimitUnknown() { queue_.setNamedLimitUnknown(true); }
  /// A response of the instance has shown whether it names a limit.
  void onNamedLimitKnown() { queue_.setNamedLimitUnknown(false); }

  /// Handles what the response to a request says.
  /// @param sent when the request was sent to the server.
  /// @return change of the named limit.
  LimitChange onResponse(const ServerCondition& condition, TimePoint sent, TimePoint now);
  /// As above for the response to a command or health check, which need not name the limit.
  LimitChange onCommandResponse(const ServerCondition& condition, TimePoint sent, TimePoint now);

  /// @return requests per second that the server takes, as it names them; std::nullopt if it names no limit.
  std::optional<double> named() const { return named_.perSecond(); }

 private:
  LimitChange apply(LimitChange change);

  SlotQueue& queue_;
  /// Requests per second; 0: no limit.
  double cold_rate_ = 0;
  TimePoint cold_until_{};
  /// Limit named by the current instance.
  NamedLimit named_;
};

}  // namespace shedlever
