#include "source/router/gateway_recorder.h"

#include <string>

#include "source/core/router/duration_format.h"
#include "source/net/http_headers.h"

namespace shedlever {

namespace {

std::string orDash(const std::string& value) { return value.empty() ? "-" : value; }

const char* decisionLabel(RetryDecision step) {
  switch (step) {
    case RetryDecision::Answer:
      return "answer";
    case RetryDecision::TryAnother:
      return "try-another";
    case RetryDecision::AwaitOwner:
      return "await-owner";
    case RetryDecision::Refuse:
      return "refuse";
    case RetryDecision::Fail:
      return "fail";
  }
  return "unknown";
}

}  // namespace

void GatewayRecorder::refusedAtOnce(const HttpRequest& http, const RequestId& id, Reason reason,
                                    ConfigVersion version) {
  metrics_.onRefusedAtOnce(reason);
  if (!log_.mayWriteFailed()) {
    return;
  }
  log_.write("gateway", "refused-at-once",
             {{"id", id.value},
              {"reason", std::string(toString(reason))},
              {"host", std::string(headerValue(http.headers, "host"))},
              {"target", http.target},
              {"config", std::to_string(version)}});
}

void GatewayRecorder::attemptEnded(const GatewayRequest& request, const ForwardReplyFrame& reply, RetryDecision next,
                                   const AttemptInputs& inputs) {
  metrics_.onRetry(reply.reason);
  if (!log_.mayWriteAttempt()) {
    return;
  }
  const TimePoint now = clock_.now();
  log_.write("gateway", "attempt-ended",
             {{"id", request.id.value},
              {"next", decisionLabel(next)},
              {"reason", toString(reply.reason)},
              {"status", std::to_string(reply.http.status)},
              {"reached", reply.reached_server ? "1" : "0"},
              {"node", orDash(request.attempt.node.value)},
              {"instance", orDash(request.attempt.instance.value)},
              {"occupancy", std::to_string(inputs.occupancy)},
              {"load_age_ms", inputs.load_age == Duration::max() ? "-" : formatMilliseconds(inputs.load_age)},
              {"table", inputs.table.none() ? "-" : toString(inputs.table)},
              {"hint", toString(reply.hint.revision)},
              {"held_ms", formatMilliseconds(now - request.arrived)},
              {"left_ms", formatMilliseconds(request.deadline - now)}});
}

void GatewayRecorder::ended(const GatewayRequest& request, int status, std::string_view outcome) {
  const TimePoint now = clock_.now();
  const Duration held = now - request.arrived;
  metrics_.onRequest({request.service, request.route->name, outcome, request.last_reason, held});
  const bool in_time = request.last_reason == ForwardReason::None && held <= request.route->target_latency;
  if (in_time ? !log_.mayWriteServed() : !log_.mayWriteFailed()) {
    return;
  }
  log_.write("gateway", outcome,
             {{"id", request.id.value},
              {"status", std::to_string(status)},
              {"route", request.route->name},
              {"service", request.service.value},
              {"config", std::to_string(request.routes->version())},
              {"key", request.keyed ? std::to_string(*request.info.key) : "-"},
              {"node", orDash(request.attempt.node.value)},
              {"instance", orDash(request.attempt.instance.value)},
              {"reason", toString(request.last_reason)},
              {"attempts", std::to_string(request.attempts)},
              {"reached", std::to_string(request.reached)},
              {"held_ms", formatMilliseconds(held)},
              {"target_ms", formatMilliseconds(request.route->target_latency)},
              {"left_ms", formatMilliseconds(request.deadline - now)}});
}

void GatewayRecorder::linkFull(const GatewayRequest& request, const LinkShortage& shortage) {
  metrics_.onEvent("link-full");
  if (!log_.mayWriteAttempt()) {
    return;
  }
  log_.write("gateway", "link-full",
             {{"id", request.id.value},
              {"route", request.route->name},
              {"bytes", std::to_string(request.http.body.size())},
              {"node", shortage.node.value},
              {"arrival_ms", formatMilliseconds(shortage.arrival)},
              {"wait_ms", formatMilliseconds(shortage.wait)},
              {"left_ms", formatMilliseconds(request.deadline - clock_.now())}});
}

void GatewayRecorder::serverLeaving(const NodeName& node, const InstanceId& instance) {
  metrics_.onEvent("server-leaving");
  log_.write("gateway", "server-leaving", {{"node", node.value}, {"instance", instance.value}});
}

}  // namespace shedlever
