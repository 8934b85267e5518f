#pragma once

/// @file
/// Key ranges in a server's heartbeat and its acknowledgement, for servers that receive their keys by heartbeat: the
/// heartbeat reports the ranges that the server holds and has released; the acknowledgement lists all ranges that the
/// server is to hold.

#include <string>
#include <vector>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"

namespace shedlever {

/// Keys that a server holds, or is still processing requests for after it was asked to release them.
struct ReportedRange {
  Key first = 0;
  Key last = 0;  ///< inclusive
  /// The token with which the server acquired the keys.
  std::uint64_t token = 0;

  auto operator<=>(const ReportedRange&) const = default;
};

/// Keys that a server has released after the last request for them ended.
struct ReleasedRange {
  Key first = 0;
  Key last = 0;  ///< inclusive
  /// Opaque state for the next holder of the keys, which saves it a cold start.
  std::string handover;
};

/// The part of a heartbeat that concerns keys.
struct KeyReport {
  std::vector<ReportedRange> held;
  /// Ranges released since the last heartbeat whose acknowledgement the server received. A range may be reported
  /// several times.
  std::vector<ReleasedRange> released;
};

struct AssignedRange {
  Key first = 0;
  Key last = 0;  ///< inclusive
  std::uint64_t token = 0;
  /// State from the previous holder; empty if there is none or if the server already holds the keys.
  std::string handover;
};

/// All ranges that a server is to hold; the server releases every other range.
struct KeyAssignment {
  std::vector<AssignedRange> ranges;
  /// How long the assignment is valid, counted from the time at which the server sent its heartbeat.
  Duration hold_duration{};
};

}  // namespace shedlever
