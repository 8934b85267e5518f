#include "source/core/router/admission/start_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace shedlever {

namespace {

/// One second plus the variation of delays on the way to the server, where requests count when they arrive.
constexpr Duration kColdWindow = std::chrono::milliseconds(1100);
/// Window of a named limit that allows several requests in it. A short window spreads the starts evenly.
constexpr double kNamedWindowSeconds = 0.5;
/// Requests per second that start even if the server names a lower limit.
constexpr double kMinNamedRate = 0.5;
/// Requests per second from which a named limit is never reached.
constexpr double kMaxNamedRate = 100'000;
/// Applies until the server has said whether it names a limit.
constexpr StartLimit kUnknownLimit{1, std::chrono::milliseconds(500)};
/// Longest window: that of a single request at the lowest named rate.
constexpr Duration kMaxWindow = std::chrono::seconds(2);
/// Limit of recorded starts; larger than any start limit per window.
constexpr std::size_t kMaxRecordedStarts = 1024;
constexpr double kMaxStartsPerWindow = kMaxRecordedStarts / 2.0;

StartLimit coldLimit(double per_second) {
  return {static_cast<std::uint32_t>(std::max(1.0, std::floor(per_second))), kColdWindow};
}

std::optional<StartLimit> namedLimit(double per_second) {
  if (per_second >= kMaxNamedRate) {
    return std::nullopt;
  }
  const double rate = std::max(per_second, kMinNamedRate);
  const double starts = std::clamp(std::floor(rate * kNamedWindowSeconds), 1.0, kMaxStartsPerWindow);
  const std::chrono::duration<double> window(starts / rate);
  return StartLimit{static_cast<std::uint32_t>(starts), std::chrono::ceil<Duration>(window)};
}

void keepLower(std::optional<StartLimit>& lowest, const std::optional<StartLimit>& limit) {
  if (limit && (!lowest || limit->perSecond() < lowest->perSecond())) {
    lowest = limit;
  }
}

}  // namespace

void StartRateLimiter::setLimit(std::optional<double> per_second) {
  cold_limit_ = per_second ? std::optional(coldLimit(*per_second)) : std::nullopt;
  updateLimit();
}

void StartRateLimiter::setNamedLimit(std::optional<double> per_second) {
  named_limit_ = per_second ? namedLimit(*per_second) : std::nullopt;
  updateLimit();
}

void StartRateLimiter::setNamedLimitUnknown(bool unknown) {
  named_limit_unknown_ = unknown;
  updateLimit();
}

void StartRateLimiter::updateLimit() {
  limit_ = named_limit_unknown_ ? std::optional(kUnknownLimit) : std::nullopt;
  keepLower(limit_, cold_limit_);
  keepLower(limit_, named_limit_);
}

std::optional<double> StartRateLimiter::sustainedRate() const {
  std::optional<StartLimit> lowest = cold_limit_;
  keepLower(lowest, named_limit_);
  return lowest ? std::optional(lowest->perSecond()) : std::nullopt;
}

void StartRateLimiter::assumeExhausted(TimePoint now) { exhausted_until_ = now + kColdWindow; }

void StartRateLimiter::dropOldStarts(TimePoint now) {
  while (!starts_.empty() && (starts_.front() + kMaxWindow <= now || starts_.size() >= kMaxRecordedStarts)) {
    starts_.pop_front();
  }
}

void StartRateLimiter::onStart(TimePoint now) {
  dropOldStarts(now);
  starts_.push_back(now);
}

Duration StartRateLimiter::timeUntilNextStart(TimePoint now) const { return timeUntilStartBehind(0, now); }

Duration StartRateLimiter::timeUntilStartBehind(std::size_t ahead, TimePoint now) const {
  if (!limit_) {
    return Duration::zero();
  }
  // Each start allows another one a window later; the requests ahead are assumed to start as early as possible.
  const auto max_starts = static_cast<std::int64_t>(limit_->max_starts);
  const auto recorded = static_cast<std::int64_t>(starts_.size());
  std::int64_t predecessor = recorded + static_cast<std::int64_t>(ahead) - max_starts;
  const std::int64_t windows = predecessor >= recorded ? (predecessor - recorded) / max_starts + 1 : 0;
  predecessor -= windows * max_starts;
  TimePoint next = std::max(now, exhausted_until_);
  if (predecessor >= 0) {
    next = std::max(next, starts_[static_cast<std::size_t>(predecessor)] + limit_->window);
  }
  return next + limit_->window * windows - now;
}

}  // namespace shedlever
