#include "source/lab/load/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace shedlever::load {

namespace {

constexpr std::size_t kSubBucketBits = 5;

}  // namespace

std::size_t LatencyHistogram::bucketIndex(std::uint64_t microseconds) {
  if (microseconds < kSubBuckets) {
    return static_cast<std::size_t>(microseconds);
  }
  const std::size_t shift = static_cast<std::size_t>(std::bit_width(microseconds)) - kSubBucketBits - 1;
  const std::size_t row = shift + 1;
  const auto column = static_cast<std::size_t>((microseconds >> shift) - kSubBuckets);
  return std::min(row * kSubBuckets + column, kBuckets - 1);
}

std::uint64_t LatencyHistogram::upperBound(std::size_t bucket) {
  if (bucket < kSubBuckets) {
    return bucket;
  }
  const std::size_t shift = bucket / kSubBuckets - 1;
  const std::uint64_t column = bucket % kSubBuckets + kSubBuckets;
  return ((column + 1) << shift) - 1;
}

void LatencyHistogram::add(Duration latency) {
  const auto microseconds = static_cast<std::uint64_t>(std::max<Duration::rep>(latency.count(), 0));
  ++buckets_[bucketIndex(microseconds)];
  ++count_;
  max_ = std::max(max_, latency);
}

Duration LatencyHistogram::quantile(double fraction) const {
  const auto target_count = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(count_)));
  std::uint64_t cumulative_count = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    cumulative_count += buckets_[bucket];
    if (cumulative_count > 0 && cumulative_count >= target_count) {
      return std::min(Duration(static_cast<Duration::rep>(upperBound(bucket))), max_);
    }
  }
  return Duration::zero();
}

}  // namespace shedlever::load
