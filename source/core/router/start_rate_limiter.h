#pragma once

/// @file
/// How many requests a second are begun at a server that has just started or has turned cold.

#include <cstdint>
#include <deque>
#include <optional>

#include "shedlever/time.h"

namespace shedlever {

/// A cold server bears a rate, however many slots it has, and falls over well above it. Starts are counted in a sliding
/// window, also while there is no limit: a server may turn cold amid its work.
class StartRateLimiter {
 public:
  /// @param per_second requests that the server bears; none: as many as its slots take.
  void setLimit(std::optional<double> per_second);
  bool isLimited() const { return max_starts_per_window_.has_value(); }

  /// Nobody knows what was begun lately: by an earlier process, at the same life of the server.
  void assumeExhausted(TimePoint now);

  void onStart(TimePoint now);

  /// @return how long until the next request may begin; zero if one may now.
  Duration timeUntilNextStart(TimePoint now) const;
  /// @return as `untilNext`, for one that has so many others before it.
  Duration timeUntilStartBehind(std::size_t ahead, TimePoint now) const;

  /// @return slots that the limit keeps busy with requests that run for so long; the limit is set.
  std::uint32_t slotsInUse(Duration service_time) const;

 private:
  void dropOldStarts(TimePoint now);

  /// Starts in one window; none without a limit.
  std::optional<std::uint32_t> max_starts_per_window_;
  std::deque<TimePoint> starts_;
  /// Until then the whole window counts as used.
  TimePoint exhausted_until_{};
};

}  // namespace shedlever
