#pragma once

/// @file
/// Logs and counts what the gate decides about each request that comes to its server.

#include "shedlever/request_fingerprint.h"
#include "source/router/event_log.h"
#include "source/router/router_metrics.h"
#include "source/router/server_client.h"

namespace shedlever {

/// What a refusal was decided by.
struct GateInputs {
  /// Life of the server that was there.
  InstanceId instance;
  ServerLoad load;
  /// Longest time that the request might have waited.
  Duration longest_wait{};
  /// Owner table that the key was looked up in; 0 for requests without a key.
  StoreRevision table;
  /// What was left of the node's lease; 0 for requests without a key.
  Duration lease_left{};
};

class GateRecorder {
 public:
  /// All outlive the recorder.
  GateRecorder(EventLog& log, RouterMetrics& metrics) : log_(log), metrics_(metrics) {}

  /// The request was not begun.
  /// @param retry_after time told; the predicted wait where the queue was too long.
  void refused(const ForwardFrame& frame, ForwardReason reason, Duration retry_after, const GateInputs& inputs);

  /// The server's part of the request has ended.
  /// @param queued before it was sent to the server. @param ran until it ended.
  void ended(const ForwardFrame& frame, const RequestFingerprint& fingerprint, const ServerResult& result,
             Duration queued, Duration ran);

 private:
  EventLog& log_;
  RouterMetrics& metrics_;
};

}  // namespace shedlever
