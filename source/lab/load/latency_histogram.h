#pragma once

/// @file
/// Latency histogram with logarithmic buckets, each divided into linear sub-buckets.

#include <array>
#include <cstdint>

#include "shedlever/time.h"

namespace shedlever::load {

/// Quantiles have a relative error of about 3 percent, from 1 microsecond to more than an hour.
class LatencyHistogram {
 public:
  void add(Duration latency);

  /// @param fraction in [0, 1], for example 0.99.
  /// @return the upper bound of the bucket that holds the quantile, at most the maximum; zero if the histogram is
  /// empty.
  Duration quantile(double fraction) const;

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
