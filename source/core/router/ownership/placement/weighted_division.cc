#include "source/core/router/ownership/placement/weighted_division.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <vector>

namespace shedlever {

namespace {

/// @return the slots of each range's owner; the mean of the known ones where they are unknown.
std::vector<double> slotsOfRanges(const std::vector<OwnedRange>& ranges,
                                  const std::function<std::uint32_t(const NodeName&)>& slots_of) {
  std::vector<double> slots(ranges.size());
  std::transform(ranges.begin(), ranges.end(), slots.begin(),
                 [&](const OwnedRange& range) { return static_cast<double>(slots_of(range.node)); });
  const auto known = std::count_if(slots.begin(), slots.end(), [](double count) { return count > 0; });
  const double sum = std::accumulate(slots.begin(), slots.end(), 0.0);
  const double mean = known > 0 ? sum / static_cast<double>(known) : 1;
  std::replace(slots.begin(), slots.end(), 0.0, mean);
  return slots;
}

}  // namespace

OwnerTable resizeBySlots(const OwnerTable& even, const std::function<std::uint32_t(const NodeName&)>& slots_of) {
  std::vector<OwnedRange> ranges = even.ranges();
  const std::vector<double> slots = slotsOfRanges(ranges, slots_of);
  const bool are_equal = std::adjacent_find(slots.begin(), slots.end(), std::not_equal_to<>()) == slots.end();
  if (are_equal) {
    return even;
  }
  const double sum = std::accumulate(slots.begin(), slots.end(), 0.0);
  double before = 0;
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    const double first = std::floor(kKeyCount * before / sum);
    before += slots[i];
    const bool is_last = i + 1 == ranges.size();
    const double next = is_last ? kKeyCount : std::floor(kKeyCount * before / sum);
    if (next <= first) {
      return even;
    }
    ranges[i].keys = {static_cast<Key>(first), static_cast<Key>(next - 1)};
  }
  return OwnerTable::assemble(even.lastToken(), even.epoch(), even.changes(), std::move(ranges)).value_or(even);
}

}  // namespace shedlever
