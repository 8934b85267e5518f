#include "source/core/router/admission/link_budget.h"

#include <algorithm>

namespace shedlever {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double seconds(Duration duration) { return static_cast<double>(duration.count()) / kMicrosecondsPerSecond; }

}  // namespace

double LinkBudget::capacity() const {
  return std::max(static_cast<double>(config_.min_burst_bytes), config_.bytes_per_second * seconds(config_.burst));
}

void LinkBudget::refill(TimePoint now) {
  if (refilled_at_ != TimePoint{}) {
    tokens_ = std::min(capacity(), tokens_ + rate() * seconds(now - refilled_at_));
  }
  refilled_at_ = now;
}

void LinkBudget::spend(std::size_t bytes, TimePoint now) {
  if (isLimited()) {
    refill(now);
    tokens_ -= static_cast<double>(bytes);
  }
}

Duration LinkBudget::timeUntilAvailable(TimePoint now) {
  if (!isLimited()) {
    return Duration::zero();
  }
  refill(now);
  return tokens_ > 0 ? Duration::zero() : std::max(transmissionTime(-tokens_), Duration(1));
}

Duration LinkBudget::transmissionTime(double bytes) const {
  return isLimited() ? Duration(static_cast<Duration::rep>(bytes / rate() * kMicrosecondsPerSecond)) : Duration::zero();
}

}  // namespace shedlever
