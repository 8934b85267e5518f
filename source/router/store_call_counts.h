#pragma once

/// @file
/// Counts the calls to the metadata store by kind of object and method, and logs the totals now and then.

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "shedlever/time.h"
#include "source/router/event_log.h"

namespace shedlever {

class StoreCallCounts {
 public:
  /// @param log outlives this object.
  explicit StoreCallCounts(EventLog& log) : log_(log) {}

  /// Counts a call. Call this when it is sent, so that refused and unanswered calls count as well.
  /// @param kind of the objects; "peer" for a call made on behalf of another process.
  /// @param method of the call, or "watch" or "check".
  void onCall(const std::string& kind, const std::string& method, TimePoint now);

  /// @return the totals as "KIND/METHOD=COUNT", separated by spaces and in order of names.
  std::string summary() const;

 private:
  EventLog& log_;
  std::map<std::pair<std::string, std::string>, std::uint64_t> counts_;
  TimePoint next_line_{};
};

}  // namespace shedlever
