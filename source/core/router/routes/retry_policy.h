#pragma once

/// @file
/// Decides what happens after a forwarded request has ended: return the response, retry, or fail.

#include <cstdint>

#include "shedlever/router_config.h"
#include "shedlever/router_frames.h"
#include "source/core/router/routes/shared_retry_budget.h"

namespace shedlever {

enum class RetryDecision : std::uint8_t {
  Answer,      ///< return the server's response to the client
  TryAnother,  ///< send the request to another server, or again to the key's owner
  AwaitOwner,  ///< wait for the key's next owner and send the request to that owner
  Refuse,      ///< the request has not run: refuse it with a retry delay
  Fail,        ///< the request may have run and must not be retried, or its time is over
};

/// State of a client's request that the decision depends on.
struct AttemptState {
  const Route* route = nullptr;
  ServiceName service;
  bool has_key = false;
  /// Number of servers that the request has reached.
  std::uint32_t servers_reached = 0;
  /// Time until the request's deadline.
  Duration remaining_time{};
};

/// Takes from the retry budget only for requests that have already reached a server.
class RetryPolicy {
 public:
  explicit RetryPolicy(SharedRetryBudget& budget) : budget_(budget) {}

  RetryDecision decide(const AttemptState& attempt, const ForwardReplyFrame& reply);

  /// @param attempt counts the open attempt among the servers reached.
  /// @return whether the request may be sent to another server while its first attempt is still open. Takes from the
  /// retry budget if so.
  bool mayAddAttempt(const AttemptState& attempt);

 private:
  RetryDecision afterNotRun(const AttemptState& attempt, const ForwardReplyFrame& reply);
  bool mayRetryNow(const AttemptState& attempt);

  SharedRetryBudget& budget_;
};

}  // namespace shedlever
