#include "source/core/router/routes/retry_policy.h"

namespace shedlever {

namespace {

/// A retry needs at least this fraction (1/n) of the latency objective; with less time left it would finish too late.
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
  const bool owner_changed = reply.reason == ForwardReason::NotOwner || reply.reason == ForwardReason::NotYetOwner;
  if (reply.reason == ForwardReason::Quarantined || (reply.reached_server && !mayRetryNow(attempt))) {
    return RetryDecision::Refuse;
  }
  if (attempt.has_key && reply.reason == ForwardReason::NotYetOwner && reply.hint.revision.none()) {
    // The gate has held the request until it could no longer be served in time, or knows that it cannot be.
    return RetryDecision::Refuse;
  }
  if (attempt.has_key) {
    // Only the owner can run the request, and an immediate retry at an overloaded owner would not help.
    return reply.reason == ForwardReason::Overloaded ? RetryDecision::Refuse : RetryDecision::AwaitOwner;
  }
  return owner_changed ? RetryDecision::AwaitOwner : RetryDecision::TryAnother;
}

bool RetryPolicy::mayAddAttempt(const AttemptState& attempt) {
  return isRepeatable(attempt.route->kind) && !attempt.has_key && mayRetryNow(attempt);
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
