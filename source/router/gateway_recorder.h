#pragma once

/// @file
/// Logs and counts the gateway's decisions about each request: one line for each attempt that did not end the request
/// and one for its end.

#include <string_view>

#include "source/core/router/directory/server_directory.h"
#include "source/core/router/routes/retry_policy.h"
#include "source/router/event_log.h"
#include "source/router/gateway_request.h"
#include "source/router/router_metrics.h"

namespace shedlever {

/// What the gateway knows about the server of an attempt.
struct AttemptInputs {
  /// Occupied share of the server's slots as last reported.
  double occupancy = 0;
  /// Age of the last load report; Duration::max() if there is none.
  Duration load_age = Duration::max();
  /// Revision of the owner table that lists the key's owner; none for requests without a key.
  StoreRevision table;
};

class GatewayRecorder {
 public:
  /// @param clock, log, metrics outlive the recorder.
  GatewayRecorder(const Clock& clock, EventLog& log, RouterMetrics& metrics)
      : clock_(clock), log_(log), metrics_(metrics) {}

  /// Records a request that was refused before it was dispatched: no configuration, shutdown, no matching route or an
  /// invalid request.
  /// @param version of the active configuration; 0 if there is none.
  void refusedAtOnce(const HttpRequest& http, const RequestId& id, Reason reason, ConfigVersion version);

  /// Records an attempt that did not end the request.
  /// @param inputs what is known about the server of the attempt.
  void attemptEnded(const GatewayRequest& request, const ForwardReplyFrame& reply, RetryDecision next,
                    const AttemptInputs& inputs);

  /// Records the final response to the request.
  /// @param outcome "answered", "refused", "failed", "recorded" or "client-gone".
  void ended(const GatewayRequest& request, int status, std::string_view outcome);

  /// Records that the request is refused because it would arrive too late at every server that it could go to.
  void linkFull(const GatewayRequest& request, const LinkShortage& shortage);

  /// Records that a server said for the first time that it is leaving.
  void serverLeaving(const NodeName& node, const InstanceId& instance);

 private:
  const Clock& clock_;
  EventLog& log_;
  RouterMetrics& metrics_;
};

}  // namespace shedlever
