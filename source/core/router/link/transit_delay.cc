#include "source/core/router/link/transit_delay.h"

#include <algorithm>

namespace shedlever {

namespace {

/// How long the least difference is remembered. Longer than a link usually stays full without a single frame that meets
/// no queue.
constexpr Duration kWindow = std::chrono::minutes(2);
/// Length of the parts of the window, each with a least difference of its own.
constexpr Duration kSlice = std::chrono::seconds(10);
/// Clocks of two machines drift apart by at most this share of the elapsed time, in parts per million.
constexpr Duration::rep kMaxClockDriftPpm = 200;
constexpr Duration::rep kMillion = 1'000'000;

/// @return by how much the difference of the clocks may have grown in the time.
Duration maxDrift(Duration elapsed) { return elapsed * kMaxClockDriftPpm / kMillion; }

}  // namespace

Duration TransitDelay::onFrame(Duration sent_at, TimePoint now) {
  if (sent_at == Duration::zero()) {
    return Duration::zero();
  }
  const Duration difference = now.time_since_epoch() - sent_at;
  learn(difference, now);
  Duration usual = Duration::max();
  for (const Slice& slice : slices_) {
    usual = std::min(usual, slice.least + maxDrift(now - slice.seen_at));
  }
  return std::max(difference - usual, Duration::zero());
}

Duration TransitDelay::onSmallFrame(Duration sent_at, TimePoint now) {
  const Duration lateness = onFrame(sent_at, now);
  if (sent_at != Duration::zero()) {
    last_lateness_ = lateness;
    last_at_ = now;
  }
  return lateness;
}

Duration TransitDelay::current(TimePoint now) const {
  return std::max(last_lateness_ - (now - last_at_), Duration::zero());
}

void TransitDelay::learn(Duration difference, TimePoint now) {
  while (!slices_.empty() && now - slices_.front().begin > kWindow) {
    slices_.pop_front();
  }
  if (slices_.empty() || now - slices_.back().begin >= kSlice) {
    slices_.push_back({now, difference, now});
    return;
  }
  Slice& current = slices_.back();
  if (difference <= current.least + maxDrift(now - current.seen_at)) {
    current.least = difference;
    current.seen_at = now;
  }
}

}  // namespace shedlever
