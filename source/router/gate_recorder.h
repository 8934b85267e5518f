#pragma once

/// @file
/// Logs and counts the gate's decisions about requests for its server.

#include "shedlever/request_fingerprint.h"
#include "source/core/router/admission/named_limit.h"
#include "source/router/event_log.h"
#include "source/router/router_metrics.h"
#include "source/router/server_client.h"

namespace shedlever {

/// The state on which a refusal was based.
struct GateInputs {
  /// The running server instance.
  InstanceId instance;
  ServerLoad load;
  /// Maximum time that the request could have waited.
  Duration max_wait{};
  /// Revision of the owner table in which the key was looked up; none for requests without a key.
  StoreRevision table;
  /// Time left on the node's lease; zero for requests without a key.
  Duration lease_left{};
};

/// Why a request is refused.
struct GateRefusal {
  ForwardReason reason = ForwardReason::None;
  /// Suggested delay before a retry; the predicted wait if the queue was too long.
  Duration retry_after{};
  /// Part of the predicted wait that is due to requests expected to arrive later and to go ahead.
  Duration overtaking_wait{};
  /// How long the request was queued; zero if it was refused on arrival.
  Duration waited{};
};

class GateRecorder {
 public:
  /// @param log, metrics outlive the recorder.
  GateRecorder(EventLog& log, RouterMetrics& metrics) : log_(log), metrics_(metrics) {}

  /// Records a request that was not started, and counts it as `waited-in-vain` if it was queued and the queue was too
  /// long after all.
  void refused(const ForwardFrame& frame, const GateRefusal& refusal, const GateInputs& inputs);

  /// Records the end of a request that was sent to the server.
  /// @param queued time before the request was sent. @param ran time until it ended.
  void ended(const ForwardFrame& frame, const RequestFingerprint& fingerprint, const ServerResult& result,
             Duration queued, Duration ran);

  /// Records that the rate limit that the server names has changed.
  /// @param per_second the new limit; std::nullopt if the server names none.
  void limitChanged(const InstanceId& instance, LimitChange change, std::optional<double> per_second);
  /// Records that the server named an invalid limit, which is ignored.
  void limitInvalid(const InstanceId& instance);

 private:
  EventLog& log_;
  RouterMetrics& metrics_;
};

}  // namespace shedlever
