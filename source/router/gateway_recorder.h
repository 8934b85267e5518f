#pragma once

/// @file
/// Logs and counts what the gateway decides about each request: one line for every attempt that did not end it, one
/// for its end.

#include <string_view>

#include "source/core/router/retry_policy.h"
#include "source/router/event_log.h"
#include "source/router/gateway_request.h"
#include "source/router/router_metrics.h"

namespace shedlever {

/// What the gateway knew when it chose where to send a request.
struct AttemptInputs {
  /// Occupied share of the server's slots, as last told.
  double occupancy = 0;
  /// Age of what was told; the longest duration when nothing was.
  Duration load_age = Duration::max();
  /// Owner table that named the key's owner; 0 for requests without a key.
  StoreRevision table;
};

class GatewayRecorder {
 public:
  /// All outlive the recorder.
  GatewayRecorder(const Clock& clock, EventLog& log, RouterMetrics& metrics)
      : clock_(clock), log_(log), metrics_(metrics) {}

  /// The request was refused before it had a route: no configuration, a stop, no such route, a wrong request.
  /// @param version of the configuration that decided it; 0 for none.
  void refusedAtOnce(const HttpRequest& http, const RequestId& id, Reason reason, ConfigVersion version);

  /// An attempt has come back without ending the request.
  /// @param inputs that chose its server.
  void attemptEnded(const GatewayRequest& request, const ForwardReplyFrame& reply, RetryDecision next,
                    const AttemptInputs& inputs);

  /// The request has had its final answer.
  /// @param outcome "answered", "refused", "failed", "recorded" or "client-gone".
  void ended(const GatewayRequest& request, int status, std::string_view outcome);

 private:
  const Clock& clock_;
  EventLog& log_;
  RouterMetrics& metrics_;
};

}  // namespace shedlever
