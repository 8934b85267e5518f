#include "source/core/router/retry_policy.h"

namespace shedlever {

namespace {

/// Below this share of the latency objective a repeat would come too late to be worth its work.
constexpr int kMinRemainingDivisor = 4;
constexpr int kFirstServerError = 500;

bool isServerError(const ForwardReplyFrame& reply) { return reply.http.status >= kFirstServerError; }

}  // namespace

bool RetryPolicy::mayRetryNow(const AttemptState& attempt) {
  const Route& route = *attempt.route;
  if (attempt.servers_reached >= route.max_attempts ||
      attempt.remaining_time < route.target_latency / kMinRemainingDivisor) {
    return false;
  }
  return budget_.trySpend(attempt.service);
}

RetryDecision RetryPolicy::afterNotRun(const AttemptState& attempt, const ForwardReplyFrame& reply) {
  const bool owner_changes = reply.reason == ForwardReason::NotOwner || reply.reason == ForwardReason::NotYetOwner;
  if (reply.reason == ForwardReason::Quarantined || (reply.reached_server && !mayRetryNow(attempt))) {
    return RetryDecision::Refuse;
  }
  if (attempt.has_key && reply.reason == ForwardReason::NotYetOwner && reply.hint.revision.none()) {
    // The gate has held it for as long as it could be served in time, or knows that it can't.
    return RetryDecision::Refuse;
  }
  if (attempt.has_key) {
    // Only the owner can run it: a full one is no reason to ask it again at once.
    return reply.reason == ForwardReason::Overloaded ? RetryDecision::Refuse : RetryDecision::AwaitOwner;
  }
  return owner_changes ? RetryDecision::AwaitOwner : RetryDecision::TryAnother;
}

RetryDecision RetryPolicy::decide(const AttemptState& attempt, const ForwardReplyFrame& reply) {
  const bool retryable = isRepeatable(attempt.route->kind);
  switch (reply.outcome) {
    case ForwardOutcome::Answered:
      return isServerError(reply) && retryable && mayRetryNow(attempt) ? RetryDecision::TryAnother
                                                                       : RetryDecision::Answer;
    case ForwardOutcome::NotRun:
      return afterNotRun(attempt, reply);
    case ForwardOutcome::Unknown:
      break;
  }
  return retryable && mayRetryNow(attempt) ? RetryDecision::TryAnother : RetryDecision::Fail;
}

}  // namespace shedlever
