#include "source/core/router/start_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace shedlever {

namespace {

/// A second, and what requests may be held up on their way to the server: they count when they arrive.
constexpr Duration kWindow = std::chrono::milliseconds(1100);
/// Starts kept while there is no limit: more than a limit ever is.
constexpr std::size_t kMaxRecordedStarts = 1024;

}  // namespace

void StartRateLimiter::setLimit(std::optional<double> per_second) {
  max_starts_per_window_ =
      per_second ? std::optional(static_cast<std::uint32_t>(std::max(1.0, std::floor(*per_second)))) : std::nullopt;
}

void StartRateLimiter::assumeExhausted(TimePoint now) { exhausted_until_ = now + kWindow; }

void StartRateLimiter::dropOldStarts(TimePoint now) {
  while (!starts_.empty() && (starts_.front() + kWindow <= now || starts_.size() >= kMaxRecordedStarts)) {
    starts_.pop_front();
  }
}

void StartRateLimiter::onStart(TimePoint now) {
  dropOldStarts(now);
  starts_.push_back(now);
}

Duration StartRateLimiter::timeUntilNextStart(TimePoint now) const { return timeUntilStartBehind(0, now); }

Duration StartRateLimiter::timeUntilStartBehind(std::size_t ahead, TimePoint now) const {
  if (!max_starts_per_window_) {
    return Duration::zero();
  }
  // Each start makes room for another one a window later; what is ahead starts as early as it may.
  const auto max_starts = static_cast<std::int64_t>(*max_starts_per_window_);
  std::int64_t predecessor = static_cast<std::int64_t>(starts_.size() + ahead) - max_starts;
  std::int64_t windows = 0;
  for (; predecessor >= static_cast<std::int64_t>(starts_.size()); predecessor -= max_starts) {
    ++windows;
  }
  TimePoint next = std::max(now, exhausted_until_) + kWindow * windows;
  if (predecessor >= 0) {
    const TimePoint room_at = starts_[static_cast<std::size_t>(predecessor)] + kWindow;
    next = std::max(next, room_at + kWindow * windows);
  }
  return next - now;
}

std::uint32_t StartRateLimiter::slotsInUse(Duration service_time) const {
  const double windows = std::chrono::duration<double>(service_time) / std::chrono::duration<double>(kWindow);
  return static_cast<std::uint32_t>(std::max(1.0, std::round(*max_starts_per_window_ * windows)));
}

}  // namespace shedlever
