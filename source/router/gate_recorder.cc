#include "source/router/gate_recorder.h"

#include <string>

#include "source/core/router/duration_format.h"

namespace shedlever {

namespace {

std::string keyOf(const ForwardFrame& frame) { return frame.keyed ? std::to_string(frame.key) : "-"; }

}  // namespace

void GateRecorder::refused(const ForwardFrame& frame, ForwardReason reason, Duration retry_after,
                           const GateInputs& inputs) {
  metrics_.onGateRefusal(reason);
  if (!log_.mayWriteAttempt()) {
    return;
  }
  log_.write("gate", "refused",
             {{"id", frame.id.value},
              {"reason", toString(reason)},
              {"priority", std::to_string(frame.priority)},
              {"key", keyOf(frame)},
              {"asked_for", frame.instance.value},
              {"instance", inputs.instance.empty() ? "-" : inputs.instance.value},
              {"running", std::to_string(inputs.load.running)},
              {"queued", std::to_string(inputs.load.queued)},
              {"slots", std::to_string(inputs.load.slots)},
              {"link_ms", std::to_string(inputs.load.link_busy_ms)},
              {"retry_after_ms", formatMilliseconds(retry_after)},
              {"longest_wait_ms", formatMilliseconds(inputs.max_wait)},
              {"table", inputs.table.none() ? "-" : toString(inputs.table)},
              {"lease_left_ms", frame.keyed ? formatMilliseconds(inputs.lease_left) : "-"},
              {"left_ms", formatMilliseconds(Duration(frame.remaining_us))}});
}

void GateRecorder::ended(const ForwardFrame& frame, const RequestFingerprint& fingerprint, const ServerResult& result,
                         Duration queued, Duration ran) {
  metrics_.onServerRequestEnd(result.outcome, result.reason, queued, ran);
  if (result.outcome == ForwardOutcome::Answered || !log_.mayWriteAttempt()) {
    return;
  }
  log_.write("gate", "not-answered",
             {{"id", frame.id.value},
              {"reason", toString(result.reason)},
              {"reached", result.reached_server ? "1" : "0"},
              {"key", keyOf(frame)},
              {"instance", frame.instance.value},
              {"fingerprint", toString(fingerprint)},
              {"queued_ms", formatMilliseconds(queued)},
              {"ran_ms", formatMilliseconds(ran)}});
}

}  // namespace shedlever
