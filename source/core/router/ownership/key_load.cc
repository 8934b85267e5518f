#include "source/core/router/ownership/key_load.h"

#include <algorithm>
#include <cmath>

namespace shedlever {

namespace {

/// Short, because the most requested keys change within seconds.
constexpr Duration kLoadHalfLife = std::chrono::seconds(1);

}  // namespace

KeyLoad::KeyLoad() : meter_(kLoadHalfLife), gains_(kLoadHalfLife) {}

double KeyLoad::requestRate(const std::vector<OwnedRange>& owned, TimePoint now) const {
  double rate = gains_.expectedRate(now);
  for (const OwnedRange& range : owned) {
    rate += meter_.rate(range.keys, now);
  }
  return rate;
}

std::uint32_t KeyLoad::rateOf(const KeyRange& keys, TimePoint now) const {
  return static_cast<std::uint32_t>(std::lround(std::max(meter_.rate(keys, now), 0.0)));
}

std::vector<OwnedRange> KeyLoad::withoutGains(std::vector<OwnedRange> owned, Duration age, TimePoint now) const {
  std::erase_if(owned, [&](const OwnedRange& range) { return gains_.gainedWithin(age, range.keys, now); });
  return owned;
}

std::vector<KeyRange> KeyLoad::split(const std::vector<OwnedRange>& ranges, std::size_t parts, TimePoint now) const {
  std::vector<KeyRange> pieces;
  for (const OwnedRange& range : ranges) {
    const auto range_pieces = meter_.split(range.keys, parts, now);
    pieces.insert(pieces.end(), range_pieces.begin(), range_pieces.end());
  }
  return pieces;
}

}  // namespace shedlever
