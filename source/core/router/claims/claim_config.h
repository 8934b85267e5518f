#pragma once

/// @file
/// Times and limits of claims.

#include <chrono>
#include <cstddef>

#include "shedlever/time.h"

namespace shedlever {

struct ClaimConfig {
  /// Time between two store calls for one claim after a call that was refused or had no response.
  Duration retry_interval = std::chrono::milliseconds(150);
  /// Largest response body that is stored for repeated requests, in bytes.
  std::size_t max_response_bytes = 64U << 10U;
  /// Time that the claim of a finished request stays in the store.
  Duration retention = std::chrono::hours(24);
  /// Limit of claims scheduled for removal. Beyond it, the oldest ones are dropped from the schedule and stay in the
  /// store.
  std::size_t max_scheduled_removals = 100000;
  /// Time without new grants after the store was restored from a backup. All processes hear of the new epoch within 2
  /// s; the rest is for rewriting their claims that the backup lacks.
  Duration grant_delay_after_restore = std::chrono::milliseconds(2500);
  /// Largest age of a backup. Finished claims are retained in memory for this time so that they can be rewritten. For
  /// as long after a restore, requests count as run if the claims of an ended process may be lost.
  Duration max_backup_age = std::chrono::seconds(30);
  /// Limit of the response bodies that are retained in memory with finished claims, in bytes.
  std::size_t max_retained_response_bytes = 4U << 20U;
  /// Time between two reads of the mark that the present epoch began long ago.
  Duration epoch_check_interval = std::chrono::seconds(2);
  /// Processes write that mark at different times within this span.
  Duration epoch_mark_spread = std::chrono::seconds(5);
};

}  // namespace shedlever
