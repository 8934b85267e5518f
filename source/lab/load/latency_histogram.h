#pragma once

/// @file
/// Latencies in buckets of equal relative width.

#include <array>
#include <cstdint>

#include "shedlever/time.h"

namespace shedlever::load {

/// Quantiles are exact to about 3 percent, from 1 microsecond to over an hour.
class LatencyHistogram {
 public:
  void add(Duration latency);

  /// @param share in [0, 1], e.g. 0.99.
  /// @return the upper edge of the bucket that holds the quantile; zero when empty.
  Duration quantile(double share) const;

  std::uint64_t count() const { return count_; }
  Duration max() const { return max_; }

 private:
  static constexpr std::uint64_t kSubBuckets = 32;
  static constexpr std::size_t kBuckets = 40 * kSubBuckets;
  static std::size_t bucketIndex(std::uint64_t microseconds);
  static std::uint64_t upperBound(std::size_t bucket);

  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t count_ = 0;
  Duration max_ = Duration::zero();
};

}  // namespace shedlever::load
