#include "source/core/router/ownership/key_meter.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace shedlever {

namespace {

/// The sums are rescaled to the current time before they exceed the range of a float.
constexpr double kRescaleAfterHalfLives = 40.0;
/// Lower bound for the age of the meter, to avoid extreme rates right after its start.
constexpr double kMinAgeSeconds = 0.2;

struct EndCut {
  KeyRange keys;
  double load = 0;
};

}  // namespace

double KeyMeter::scaleAt(TimePoint now) const {
  const double half_lives = static_cast<double>((now - reference_).count()) / static_cast<double>(half_life_.count());
  return std::exp2(half_lives);
}

double KeyMeter::windowSeconds(TimePoint now) const {
  const double half_life = std::chrono::duration<double>(half_life_).count();
  const double age = std::max(std::chrono::duration<double>(now - since_).count(), kMinAgeSeconds);
  return half_life / std::numbers::ln2 * (1.0 - std::exp2(-age / half_life));
}

void KeyMeter::add(Key key, double amount, TimePoint now) {
  if (since_ == TimePoint{}) {
    since_ = now;
  }
  double scale = scaleAt(now);
  if (scale > std::exp2(kRescaleAfterHalfLives)) {
    for (float& load : load_) {
      load = static_cast<float>(load / scale);
    }
    reference_ = now;
    scale = 1.0;
  }
  load_[key] += static_cast<float>(amount * scale);
}

double KeyMeter::sum(const KeyRange& keys, TimePoint now) const {
  double total = 0;
  for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
    total += load_[key];
  }
  return total / scaleAt(now);
}

Key KeyMeter::hottest(const KeyRange& range) const {
  const auto begin = load_.begin() + range.first;
  const auto end = load_.begin() + range.last + 1;
  return static_cast<Key>(std::max_element(begin, end) - load_.begin());
}

std::vector<KeyRange> KeyMeter::split(const KeyRange& range, std::size_t parts, TimePoint now) const {
  const double scale = scaleAt(now);
  const double share = sum(range, now) / static_cast<double>(parts);
  std::vector<KeyRange> ranges;
  KeyRange current{range.first, range.first};
  double load = 0;
  for (std::uint32_t key = range.first; key <= range.last; ++key) {
    load += load_[key] / scale;
    current.last = static_cast<Key>(key);
    if (share > 0 && load >= share && ranges.size() + 1 < parts && key < range.last) {
      ranges.push_back(current);
      current.first = static_cast<Key>(key + 1);
      load = 0;
    }
  }
  ranges.push_back(current);
  return ranges;
}

std::optional<KeyRange> KeyMeter::cutFromEnd(const KeyRange& range, double wanted, double max_load,
                                             TimePoint now) const {
  const double scale = scaleAt(now);
  const auto from_low_end = [&] {
    EndCut cut;
    for (std::uint32_t key = range.first; key < range.last && cut.load < wanted; ++key) {
      if (cut.load + load_[key] / scale > max_load) {
        break;
      }
      cut.load += load_[key] / scale;
      cut.keys = {range.first, static_cast<Key>(key)};
    }
    return cut;
  };
  const auto from_high_end = [&] {
    EndCut cut;
    for (std::uint32_t key = range.last; key > range.first && cut.load < wanted; --key) {
      if (cut.load + load_[key] / scale > max_load) {
        break;
      }
      cut.load += load_[key] / scale;
      cut.keys = {static_cast<Key>(key), range.last};
    }
    return cut;
  };
  const EndCut low = from_low_end();
  const EndCut high = from_high_end();
  const EndCut& best = std::abs(low.load - wanted) <= std::abs(high.load - wanted) ? low : high;
  if (best.load <= 0) {
    return std::nullopt;
  }
  return best.keys;
}

}  // namespace shedlever
