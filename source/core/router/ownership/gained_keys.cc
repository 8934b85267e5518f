#include "source/core/router/ownership/gained_keys.h"

#include <algorithm>
#include <cmath>

namespace shedlever {

namespace {

/// Half-lives after which a previous owner's rate is negligible and is dropped.
constexpr int kRememberedHalfLives = 10;

}  // namespace

void GainedKeys::recordGains(const std::vector<OwnedRange>& owned, TimePoint now) {
  std::erase_if(gains_, [&](const Gain& gain) { return now - gain.gained_at > half_life_ * kRememberedHalfLives; });
  FenceToken newest = newest_token_;
  for (const OwnedRange& range : owned) {
    if (range.rate != 0 && range.token > newest_token_) {
      gains_.push_back({range.keys, static_cast<double>(range.rate), now});
    }
    newest = std::max(newest, range.token);
  }
  newest_token_ = newest;
}

bool GainedKeys::gainedWithin(Duration age, const KeyRange& keys, TimePoint now) const {
  return std::any_of(gains_.begin(), gains_.end(), [&](const Gain& gain) {
    return now - gain.gained_at < age && gain.keys.first <= keys.last && keys.first <= gain.keys.last;
  });
}

double GainedKeys::expectedRate(TimePoint now) const {
  double rate = 0;
  for (const Gain& gain : gains_) {
    const auto half_lives = std::chrono::duration<double>(now - gain.gained_at) / half_life_;
    rate += gain.rate * std::exp2(-half_lives);
  }
  return rate;
}

}  // namespace shedlever
