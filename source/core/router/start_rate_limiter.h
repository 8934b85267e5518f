#pragma once

/// @file
/// Limits the rate at which requests start at a server that has just started or has become cold.

#include <cstdint>
#include <deque>
#include <optional>

#include "shedlever/time.h"

namespace shedlever {

/// A cold server handles a limited request rate, however many slots it has, and becomes overloaded above it. Starts are
/// counted in a sliding window, also while there is no limit, because a server may become cold while it serves
/// requests.
class StartRateLimiter {
 public:
  /// @param per_second requests that the server can handle per second; none: no limit.
  void setLimit(std::optional<double> per_second);
  bool isLimited() const { return max_starts_per_window_.has_value(); }

  /// Assumes that the current window is exhausted: another router process may have started requests at the same
  /// server instance before.
  void assumeExhausted(TimePoint now);

  void onStart(TimePoint now);

  /// @return time until the next request may start; zero if one may start now.
  Duration timeUntilNextStart(TimePoint now) const;
  /// @return time until a request may start that has this many requests ahead of it.
  Duration timeUntilStartBehind(std::size_t ahead, TimePoint now) const;

  /// Requires a limit.
  /// @return number of slots that requests of this service time occupy at the limited rate.
  std::uint32_t slotsInUse(Duration service_time) const;

 private:
  void dropOldStarts(TimePoint now);

  /// None if there is no limit.
  std::optional<std::uint32_t> max_starts_per_window_;
  std::deque<TimePoint> starts_;
  /// While a limit is set, no request may start before this time.
  TimePoint exhausted_until_{};
};

}  // namespace shedlever
