#pragma once

/// @file
/// Limits the rate at which requests start at one server.

#include <cstdint>
#include <deque>
#include <optional>

#include "shedlever/time.h"

namespace shedlever {

/// Number of requests that may start in any window of this length.
struct StartLimit {
  std::uint32_t max_starts = 1;
  Duration window{};

  double perSecond() const { return max_starts / std::chrono::duration<double>(window).count(); }
};

/// A cold server handles a limited request rate, however many slots it has, and becomes overloaded above it. A server
/// in need names a rate itself. The lowest rate applies. Starts are counted in a sliding window, also while there is no
/// limit, because a limit may begin while the server handles requests.
class StartRateLimiter {
 public:
  /// @param per_second requests that a cold server can handle per second; none: it is not cold.
  void setLimit(std::optional<double> per_second);
  /// @param per_second requests that the server takes per second, 0 or more; none: it names no limit. Below one request
  ///   in two seconds, that many still start, since only responses show that the limit has changed.
  void setNamedLimit(std::optional<double> per_second);
  /// Sets whether a limit that the server named earlier may be unknown here. Few requests start then.
  void setNamedLimitUnknown(bool unknown);

  bool isLimited() const { return limit_.has_value(); }

  /// Assumes that the current window is exhausted: another router process may have started requests at the same
  /// server instance before.
  void assumeExhausted(TimePoint now);

  void onStart(TimePoint now);

  /// @return time until the next request may start; zero if one may start now.
  Duration timeUntilNextStart(TimePoint now) const;
  /// @return time until a request may start that has this many requests ahead of it.
  Duration timeUntilStartBehind(std::size_t ahead, TimePoint now) const;

  /// @return rate of the cold or the named limit, in requests per second; none if there is neither.
  std::optional<double> sustainedRate() const;

 private:
  void dropOldStarts(TimePoint now);
  void updateLimit();

  std::optional<StartLimit> cold_limit_;
  std::optional<StartLimit> named_limit_;
  bool named_limit_unknown_ = false;
  /// The one with the lowest rate; none if there is no limit.
  std::optional<StartLimit> limit_;
  std::deque<TimePoint> starts_;
  /// While a limit is set, no request may start before this time.
  TimePoint exhausted_until_{};
};

}  // namespace shedlever
