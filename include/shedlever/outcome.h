#pragma once

/// @file
/// What a caller is told about its request.

#include <cstdint>
#include <string_view>

namespace shedlever {

/// The fate of a request, as proved and not as guessed.
enum class Outcome : std::uint8_t {
  Answered,  ///< the caller gets the whole answer of the server to this very request
  NotRun,    ///< proof exists that no server started it
  Unknown,   ///< it was sent to a server and may or may not have run
};

/// Why a request was not answered. Every reason has one fixed word on the wire and in the metrics.
enum class Reason : std::uint8_t {
  None,
  BadRequest,             ///< the request can't be understood; sending it again won't help
  Unauthenticated,        ///< no credential, or one that names no tenant
  UnknownService,         ///< no service matches
  TooLarge,               ///< body or headers over the limit
  DeadlineExceeded,       ///< the caller's time is used up
  QueueFull,              ///< the tenant's queue at the server is full
  Overloaded,             ///< the server sheds load
  NoOwner,                ///< no server owns the key at the moment
  NotOwner,               ///< the server asked is not, or no longer, the owner ("moved")
  Draining,               ///< the server takes no new work because it is leaving
  ServerUnavailable,      ///< no server of the service can be reached
  ConnectionLost,         ///< the connection broke after the request was sent
  BadReply,               ///< the reply was cut, crossed or malformed
  Cancelled,              ///< the caller went away
  DuplicateInProgress,    ///< once-only: the same idempotency key is running
  DuplicateUnknown,       ///< once-only: the same key ran earlier and its outcome is unknown
  ClaimUnavailable,       ///< once-only: the claim could not be committed in time
  MissingIdempotencyKey,  ///< once-only: the request carries no idempotency key
  ShuttingDown,           ///< this process is stopping
  Quarantined,            ///< servers have ended while at work on the same request; none gets it for some time
};

/// @return the word for the `Shedlever-Outcome` header: "answered", "not-run" or "unknown".
std::string_view toString(Outcome outcome);

/// @return the word for the `Shedlever-Reason` header and metric labels, e.g. "queue-full".
std::string_view toString(Reason reason);

/// @return the HTTP status that a caller gets for a request refused for this reason.
int httpStatusFor(Reason reason);

}  // namespace shedlever
