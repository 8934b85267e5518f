#include "source/router/gate_recorder.h"

#include <sstream>
#include <string>

#include "source/core/router/duration_format.h"

namespace shedlever {

namespace {

const char* limitEvent(LimitChange change) {
  switch (change) {
    case LimitChange::None:
      break;
    case LimitChange::Named:
      return "limit-named";
    case LimitChange::Changed:
      return "limit-changed";
    case LimitChange::Ended:
      return "limit-ended";
  }
  return "limit-unchanged";
}

std::string formatRate(double per_second) {
  std::ostringstream text;
  text << per_second;
  return text.str();
}

std::string keyOf(const ForwardFrame& frame) { return frame.keyed ? std::to_string(frame.key) : "-"; }

}  // namespace

void GateRecorder::refused(const ForwardFrame& frame, const GateRefusal& refusal, const GateInputs& inputs) {
  metrics_.onGateRefusal(refusal.reason);
  if (refusal.reason == ForwardReason::Overloaded && refusal.waited > Duration::zero()) {
    metrics_.onEvent("waited-in-vain");
  }
  if (!log_.mayWriteAttempt()) {
    return;
  }
  log_.write("gate", "refused",
             {{"id", frame.id.value},
              {"reason", toString(refusal.reason)},
              {"priority", std::to_string(frame.priority)},
              {"key", keyOf(frame)},
              {"asked_for", frame.instance.value},
              {"instance", inputs.instance.empty() ? "-" : inputs.instance.value},
              {"running", std::to_string(inputs.load.running)},
              {"queued", std::to_string(inputs.load.queued)},
              {"slots", std::to_string(inputs.load.slots)},
              {"link_ms", std::to_string(inputs.load.link_busy_ms)},
              {"retry_after_ms", formatMilliseconds(refusal.retry_after)},
              {"overtaking_ms", formatMilliseconds(refusal.overtaking_wait)},
              {"waited_ms", formatMilliseconds(refusal.waited)},
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

void GateRecorder::limitChanged(const InstanceId& instance, LimitChange change, std::optional<double> per_second) {
  metrics_.onEvent(limitEvent(change));
  // A server may change its limit with each response.
  if (change == LimitChange::Changed && !log_.mayWriteAttempt()) {
    return;
  }
  log_.write("server", limitEvent(change),
             {{"instance", instance.value}, {"per_second", per_second ? formatRate(*per_second) : "-"}});
}

void GateRecorder::limitInvalid(const InstanceId& instance) {
  metrics_.onEvent("limit-invalid");
  if (log_.mayWriteAttempt()) {
    log_.write("server", "limit-invalid", {{"instance", instance.value}});
  }
}

}  // namespace shedlever
