#pragma once

/// @file
/// Keys in a server's heartbeat and in its acknowledgement, for servers that take their keys that way: the heartbeat
/// tells what the server holds and what it has let go of, the acknowledgement tells all that it is to hold.

#include <string>
#include <vector>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"

namespace shedlever {

/// Keys that a server holds, or still works on after it was told to let go.
struct ReportedRange {
  Key first = 0;
  Key last = 0;  ///< included
  /// The token that it took them with.
  std::uint64_t token = 0;

  auto operator<=>(const ReportedRange&) const = default;
};

/// Keys that a server has let go of, all work on them ended.
struct ReleasedRange {
  Key first = 0;
  Key last = 0;  ///< included
  /// Spares the next holder a cold start.
  std::string handover;
};

/// The part of a heartbeat that is about keys.
struct KeyReport {
  std::vector<ReportedRange> held;
  /// Since the last heartbeat whose acknowledgement the server has seen, so the same may come more than once.
  std::vector<ReleasedRange> released;
};

struct AssignedRange {
  Key first = 0;
  Key last = 0;  ///< included
  std::uint64_t token = 0;
  /// Of the last holder; empty when there is none, or the server holds the keys already.
  std::string handover;
};

/// All that a server is to hold; it lets go of everything else.
struct KeyAssignment {
  std::vector<AssignedRange> ranges;
  /// For how long, counted by the server from when it sent its heartbeat.
  Duration hold_duration{};
};

}  // namespace shedlever
