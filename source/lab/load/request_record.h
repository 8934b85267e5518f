#pragma once

/// @file
/// Result of one request of a load.

#include <cstdint>
#include <string>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"

namespace shedlever::load {

/// Outcome of a request from the point of view of the caller.
enum class CallerOutcome : std::uint8_t {
  Answered,
  NotRun,
  Unknown,
  NoReply,  ///< no complete response from the gateway; the caller must treat the outcome as unknown
  NotSent,  ///< no connection to the gateway, or too many requests in flight; the request did not run
};

/// @return "answered", "not-run", "unknown", "no-reply" or "not-sent".
const char* toString(CallerOutcome outcome);

/// Fault of a response that was received completely.
enum class ResponseFault : std::uint8_t {
  None,
  Wrong,      ///< belongs to another request, has an unexpected status or names no outcome
  Truncated,  ///< the body does not have the expected form
};

struct RequestRecord {
  std::uint64_t sequence = 0;
  /// `service`, `tenant` and `gateway` are indexes into the lists of the load's configuration.
  std::size_t service = 0;
  std::size_t tenant = 0;
  std::size_t gateway = 0;
  std::string key;
  IdempotencyKey idempotency_key;
  /// As reported by the gateway; empty without a response.
  RequestId id;
  CallerOutcome outcome = CallerOutcome::NoReply;
  /// Value of the header `Shedlever-Reason`, or why there was no response; empty when answered.
  std::string reason;
  int http_status = 0;
  ResponseFault fault = ResponseFault::None;
  /// `due`, `sent` and `ended` are measured from the start of the load.
  Duration due = Duration::zero();
  Duration sent = Duration::zero();
  Duration ended = Duration::zero();

  /// @return the time from when the request was due until it ended.
  Duration latency() const { return ended - due; }
};

}  // namespace shedlever::load
