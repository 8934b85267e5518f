#include "source/core/router/start_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace shedlever {

namespace {

/// One second plus the variation of delays on the way to the server, where requests count when they arrive.
constexpr Duration kWindow = std::chrono::milliseconds(1100);
/// Limit of recorded starts; larger than any start limit per window.
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
  // Each start allows another one a window later; the requests ahead are assumed to start as early as possible.
  const auto max_starts = static_cast<std::int64_t>(*max_starts_per_window_);
  std::int64_t predecessor = static_cast<std::int64_t>(starts_.size() + ahead) - max_starts;
  std::int64_t windows = 0;
  for (; predecessor >= static_cast<std::int64_t>(starts_.size()); predecessor -= max_starts) {
    ++windows;
  }
  TimePoint next = std::max(now, exhausted_until_) + kWindow * windows;
  if (predecessor >= 0) {
    const TimePoint available_at = starts_[static_cast<std::size_t>(predecessor)] + kWindow;
    next = std::max(next, available_at + kWindow * windows);
  }
  return next - now;
}

std::uint32_t StartRateLimiter::slotsInUse(Duration service_time) const {
  const double windows = std::chrono::duration<double>(service_time) / std::chrono::duration<double>(kWindow);
  return static_cast<std::uint32_t>(std::max(1.0, std::round(*max_starts_per_window_ * windows)));
}

}  // namespace shedlever
