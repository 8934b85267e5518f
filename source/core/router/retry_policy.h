#pragma once

/// @file
/// What follows when a forwarded request comes back: answer, try again, or give up.

#include <cstdint>

#include "shedlever/router_config.h"
#include "shedlever/router_frames.h"
#include "source/core/router/shared_retry_budget.h"

namespace shedlever {

enum class RetryDecision : std::uint8_t {
  Answer,      ///< pass the server's answer on
  TryAnother,  ///< send it to another server, or again to the key's owner
  AwaitOwner,  ///< the key is changing hands: send it to its owner once that is settled
  Refuse,      ///< it has not run: tell the client when to come back
  Fail,        ///< it may have run, or its time is over
};

/// One attempt of a client, as far as the decision needs it.
struct AttemptState {
  const Route* route = nullptr;
  ServiceName service;
  bool has_key = false;
  /// Servers that the request has reached.
  std::uint32_t servers_reached = 0;
  /// What is left of its time.
  Duration remaining_time{};
};

/// Spends from the budget only for what has reached a server before.
class RetryPolicy {
 public:
  explicit RetryPolicy(SharedRetryBudget& budget) : budget_(budget) {}

  RetryDecision decide(const AttemptState& attempt, const ForwardReplyFrame& reply);

 private:
  RetryDecision afterNotRun(const AttemptState& attempt, const ForwardReplyFrame& reply);
  bool mayRetryNow(const AttemptState& attempt);

  SharedRetryBudget& budget_;
};

}  // namespace shedlever
