#include "shedlever/outcome.h"

#include <array>
#include <cstddef>

namespace shedlever {

namespace {

/// Text and HTTP status of one reason. The table is in the order of the enumeration.
struct ReasonRow {
  Reason reason;
  std::string_view name;
  int http_status;
};

constexpr std::array kReasonRows = {
    ReasonRow{Reason::None, "none", 200},
    ReasonRow{Reason::BadRequest, "bad-request", 400},
    ReasonRow{Reason::Unauthenticated, "unauthenticated", 401},
    ReasonRow{Reason::UnknownService, "unknown-service", 404},
    ReasonRow{Reason::TooLarge, "too-large", 413},
    ReasonRow{Reason::DeadlineExceeded, "deadline-exceeded", 504},
    ReasonRow{Reason::QueueFull, "queue-full", 429},
    ReasonRow{Reason::Overloaded, "overloaded", 503},
    ReasonRow{Reason::NoOwner, "no-owner", 503},
    ReasonRow{Reason::NotOwner, "not-owner", 503},
    ReasonRow{Reason::Draining, "draining", 503},
    ReasonRow{Reason::ServerUnavailable, "server-unavailable", 503},
    ReasonRow{Reason::ConnectionLost, "connection-lost", 502},
    ReasonRow{Reason::BadReply, "bad-reply", 502},
    ReasonRow{Reason::Cancelled, "cancelled", 499},
    ReasonRow{Reason::DuplicateInProgress, "duplicate-in-progress", 409},
    ReasonRow{Reason::DuplicateUnknown, "duplicate-unknown", 409},
    ReasonRow{Reason::ClaimUnavailable, "claim-unavailable", 503},
    ReasonRow{Reason::MissingIdempotencyKey, "missing-idempotency-key", 400},
    ReasonRow{Reason::ShuttingDown, "shutting-down", 503},
    ReasonRow{Reason::Quarantined, "quarantined", 503},
    ReasonRow{Reason::QuotaExceeded, "quota-exceeded", 429},
};

const ReasonRow& rowOf(Reason reason) { return kReasonRows.at(static_cast<std::size_t>(reason)); }

constexpr bool rowsInOrder() {
  for (std::size_t i = 0; i < kReasonRows.size(); ++i) {
    if (static_cast<std::size_t>(kReasonRows[i].reason) != i) {
      return false;
    }
  }
  return true;
}
static_assert(rowsInOrder());

}  // namespace

std::string_view toString(Outcome outcome) {
  switch (outcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view toString(Reason reason) { return rowOf(reason).name; }

int httpStatusFor(Reason reason) { return rowOf(reason).http_status; }

}  // namespace shedlever
