#include "source/core/router/admission/arrival_rate_meter.h"

#include <algorithm>

namespace shedlever {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(125);

std::int64_t intervalOf(TimePoint time) { return time.time_since_epoch() / kInterval; }

std::size_t indexOf(std::int64_t interval, std::size_t size) { return static_cast<std::size_t>(interval) % size; }

}  // namespace

void ArrivalRateMeter::record(TimePoint now) {
  const std::int64_t current = intervalOf(now);
  const std::int64_t last_reset = std::min(current, newest_ + kCompleteIntervals + 1);
  for (std::int64_t interval = newest_ + 1; interval <= last_reset; ++interval) {
    counts_[indexOf(interval, counts_.size())] = 0;
  }
  newest_ = std::max(newest_, current);
  ++counts_[indexOf(newest_, counts_.size())];
}

double ArrivalRateMeter::perSecond(TimePoint now) const {
  const std::int64_t current = intervalOf(now);
  const std::int64_t first = std::max(current, newest_) - kCompleteIntervals;
  std::uint64_t events = 0;
  for (std::int64_t interval = std::max<std::int64_t>(first, 0); interval <= std::min(current - 1, newest_);
       ++interval) {
    events += counts_[indexOf(interval, counts_.size())];
  }
  return static_cast<double>(events) / std::chrono::duration<double>(kInterval * kCompleteIntervals).count();
}

bool ArrivalRateMeter::isIdle(TimePoint now) const { return intervalOf(now) > newest_ + kCompleteIntervals; }

}  // namespace shedlever
