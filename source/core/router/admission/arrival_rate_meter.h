#pragma once

/// @file
/// Measures the recent rate of events.

#include <array>
#include <cstdint>

#include "shedlever/time.h"

namespace shedlever {

/// Counts events in short intervals. The rate is that of the last complete intervals; the current interval is left out,
/// so that a few events at the same moment are not taken for a lasting rate.
class ArrivalRateMeter {
 public:
  void record(TimePoint now);

  /// @return events per second.
  double perSecond(TimePoint now) const;

  /// @return whether no event is within the measured time.
  bool isIdle(TimePoint now) const;

 private:
  static constexpr std::int64_t kCompleteIntervals = 4;

  /// Number of the interval of the newest event.
  std::int64_t newest_ = 0;
  /// Events of the newest intervals, by interval number modulo the size.
  std::array<std::uint32_t, kCompleteIntervals + 1> counts_{};
};

}  // namespace shedlever
