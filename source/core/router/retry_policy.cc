#include "source/core/router/retry_policy.h"

namespace shedlever {

namespace {

/// Below this share of the latency objective a repeat would come too late to be worth its work.
constexpr int kLeastRemainingDivisor = 4;
constexpr int kFirstServerError = 500;

bool isServerError(const ForwardReplyFrame& reply) { return reply.http.status >= kFirstServerError; }

}  // namespace

bool RetryPolicy::mayRepeatNow(const AttemptState& attempt) {
  const Route& route = *attempt.route;
  if (attempt.reached >= route.max_attempts || attempt.remaining < route.target_latency / kLeastRemainingDivisor) {
    return false;
  }
  return budget_.spend(attempt.service);
}

NextStep RetryPolicy::afterNotRun(const AttemptState& attempt, const ForwardReplyFrame& reply) {
  const bool owner_changes = reply.reason == ForwardReason::NotOwner || reply.reason == ForwardReason::NotYetOwner;
  if (reply.reason == ForwardReason::Quarantined || (reply.reached_server && !mayRepeatNow(attempt))) {
    return NextStep::Refuse;
  }
  if (attempt.keyed && reply.reason == ForwardReason::NotYetOwner && reply.hint.revision.none()) {
    // The gate has held it for as long as it could be served in time, or knows that it can't.
    return NextStep::Refuse;
  }
  if (attempt.keyed) {
    // Only the owner can run it: a full one is no reason to ask it again at once.
    return reply.reason == ForwardReason::Overloaded ? NextStep::Refuse : NextStep::AwaitOwner;
  }
  return owner_changes ? NextStep::AwaitOwner : NextStep::TryAnother;
}

NextStep RetryPolicy::decide(const AttemptState& attempt, const ForwardReplyFrame& reply) {
  const bool repeatable = isRepeatable(attempt.route->kind);
  switch (reply.outcome) {
    case ForwardOutcome::Answered:
      return isServerError(reply) && repeatable && mayRepeatNow(attempt) ? NextStep::TryAnother : NextStep::Answer;
    case ForwardOutcome::NotRun:
      return afterNotRun(attempt, reply);
    case ForwardOutcome::Unknown:
      break;
  }
  return repeatable && mayRepeatNow(attempt) ? NextStep::TryAnother : NextStep::Fail;
}

}  // namespace shedlever
