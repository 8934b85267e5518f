#pragma once

/// @file
/// Outcomes and refusal reasons that are reported to the caller of a request.

#include <cstdint>
#include <string_view>

namespace shedlever {

/// Final state of a request. `Answered` and `NotRun` are reported only when they are certain.
enum class Outcome : std::uint8_t {
  Answered,  ///< the caller gets the server's complete response to this request
  NotRun,    ///< certain: no server started the request
  Unknown,   ///< the request was sent to a server and may or may not have run
};

/// Why a request was not answered. Each reason has one fixed word on the wire and in metrics.
enum class Reason : std::uint8_t {
  None,
  BadRequest,             ///< the request is invalid; retrying is useless
  Unauthenticated,        ///< no credential, or one that belongs to no tenant
  UnknownService,         ///< no service matches
  TooLarge,               ///< body or headers exceed the limit
  DeadlineExceeded,       ///< the caller's deadline has passed
  QueueFull,              ///< the tenant's queue at the server is full
  Overloaded,             ///< the server is shedding load
  NoOwner,                ///< no server currently owns the key
  NotOwner,               ///< the addressed server does not, or no longer, own the key ("moved")
  Draining,               ///< the server accepts no new requests because it is shutting down
  ServerUnavailable,      ///< no server of the service is reachable
  ConnectionLost,         ///< the connection broke after the request was sent
  BadReply,               ///< the response was truncated, mismatched or malformed
  Cancelled,              ///< the caller disconnected
  DuplicateInProgress,    ///< at most once: a request with the same idempotency key is running
  DuplicateUnknown,       ///< at most once: a request with the same key ran earlier with unknown outcome
  ClaimUnavailable,       ///< at most once: the claim could not be committed in time
  MissingIdempotencyKey,  ///< at most once: the request has no idempotency key
  ShuttingDown,           ///< this process is shutting down
  Quarantined,            ///< servers have crashed while processing this request; it is refused for a limited time
  QuotaExceeded,          ///< the tenant has sent more requests than its quota allows
};

/// @return the word for the `Shedlever-Outcome` header: "answered", "not-run" or "unknown".
std::string_view toString(Outcome outcome);

/// @return the word for the `Shedlever-Reason` header and metric labels, e.g. "queue-full".
std::string_view toString(Reason reason);

/// @return the HTTP status for a request refused for this reason.
int httpStatusFor(Reason reason);

}  // namespace shedlever
