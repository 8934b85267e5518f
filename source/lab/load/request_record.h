#pragma once

/// @file
/// What became of one request of a load.

#include <cstdint>
#include <string>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"

namespace shedlever::load {

/// The caller's view of how a request ended.
enum class CallerOutcome : std::uint8_t {
  Answered,
  NotRun,
  Unknown,
  NoReply,  ///< the gateway gave no whole reply: as good as unknown
  NotSent,  ///< no connection to the gateway, or too many requests under way: the caller knows that it did not run
};

/// @return "answered", "not-run", "unknown", "no-reply" or "not-sent".
const char* toString(CallerOutcome outcome);

/// What is wrong with an answer that the gateway called whole.
enum class ResponseFault : std::uint8_t {
  None,
  Wrong,      ///< belongs to another request
  Truncated,  ///< not whole, or not readable
};

struct RequestRecord {
  std::uint64_t sequence = 0;
  /// Index into the load's services.
  std::size_t service = 0;
  std::size_t tenant = 0;
  std::size_t gateway = 0;
  std::string key;
  IdempotencyKey idempotency_key;
  /// As told by the gateway; empty without a reply.
  RequestId id;
  CallerOutcome outcome = CallerOutcome::NoReply;
  /// `Shedlever-Reason`; empty when answered.
  std::string reason;
  int http_status = 0;
  ResponseFault fault = ResponseFault::None;
  /// Counted from the beginning of the load.
  Duration due = Duration::zero();
  Duration sent = Duration::zero();
  Duration ended = Duration::zero();

  /// @return time from when the request was due.
  Duration latency() const { return ended - due; }
};

}  // namespace shedlever::load
