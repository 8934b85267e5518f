#include "source/core/router/ownership/remaining_keys.h"

#include <algorithm>
#include <cmath>

namespace shedlever {

namespace {

/// Largest accepted ratio of a move's request rate to the wanted rate.
constexpr double kMaxRateFactor = 1.4;
/// Smallest ratio of a whole range's request rate to the wanted rate for which the range is moved without cutting it.
constexpr double kWholeRangeShare = 0.7;

}  // namespace

RemainingKeys::RemainingKeys(const KeyMeter& meter, const std::vector<OwnedRange>& owned, TimePoint now)
    : meter_(meter), now_(now) {
  for (const OwnedRange& range : owned) {
    remaining_.push_back(range.keys);
  }
}

std::optional<KeyRange> RemainingKeys::take(double rate) {
  std::optional<Choice> best;
  for (std::size_t i = 0; i < remaining_.size() && remaining_.size() > 1; ++i) {
    const double whole = meter_.rate(remaining_[i], now_);
    if (whole >= rate * kWholeRangeShare && whole <= rate * kMaxRateFactor) {
      consider(best, {i, remaining_[i], std::abs(whole - rate)});
    }
  }
  if (!best) {
    considerEnds(best, rate);
  }
  if (best) {
    remove(best->index, best->keys);
  }
  return best ? std::optional<KeyRange>(best->keys) : std::nullopt;
}

bool RemainingKeys::takeKey(Key key) {
  const auto found =
      std::find_if(remaining_.begin(), remaining_.end(), [key](const KeyRange& range) { return range.contains(key); });
  if (found == remaining_.end()) {
    return false;
  }
  const KeyRange whole = *found;
  remaining_.erase(found);
  if (whole.first < key) {
    remaining_.push_back({whole.first, static_cast<Key>(key - 1)});
  }
  if (key < whole.last) {
    remaining_.push_back({static_cast<Key>(key + 1), whole.last});
  }
  return true;
}

std::optional<Key> RemainingKeys::hottest() const {
  std::optional<Key> best;
  double best_rate = 0;
  for (const KeyRange& range : remaining_) {
    const Key key = meter_.hottest(range);
    const double rate = meter_.rate({key, key}, now_);
    if (!best || rate > best_rate) {
      best = key;
      best_rate = rate;
    }
  }
  return best;
}

void RemainingKeys::consider(std::optional<Choice>& best, const Choice& choice) {
  if (!best || choice.distance < best->distance) {
    best = choice;
  }
}

void RemainingKeys::considerEnds(std::optional<Choice>& best, double rate) const {
  const double wanted = rate * meter_.windowSeconds(now_);
  for (std::size_t i = 0; i < remaining_.size(); ++i) {
    if (const auto keys = meter_.cutFromEnd(remaining_[i], wanted, wanted * kMaxRateFactor, now_)) {
      consider(best, {i, *keys, std::abs(meter_.rate(*keys, now_) - rate)});
    }
  }
}

void RemainingKeys::remove(std::size_t index, const KeyRange& keys) {
  const KeyRange whole = remaining_[index];
  if (keys == whole) {
    remaining_.erase(remaining_.begin() + static_cast<std::ptrdiff_t>(index));
  } else if (keys.first == whole.first) {
    remaining_[index].first = static_cast<Key>(keys.last + 1);
  } else {
    remaining_[index].last = static_cast<Key>(keys.first - 1);
  }
}

}  // namespace shedlever
