#include "source/lab/load/zipf_distribution.h"

#include <algorithm>
#include <cmath>

namespace shedlever::load {

ZipfDistribution::ZipfDistribution(std::uint64_t count, double skew) {
  cumulative_.reserve(count);
  double sum = 0;
  for (std::uint64_t rank = 0; rank < count; ++rank) {
    sum += 1.0 / std::pow(static_cast<double>(rank + 1), skew);
    cumulative_.push_back(sum);
  }
  for (double& value : cumulative_) {
    value /= sum;
  }
}

std::uint64_t ZipfDistribution::rankAt(double fraction) const {
  const auto found = std::upper_bound(cumulative_.begin(), cumulative_.end(), fraction);
  const auto rank = static_cast<std::uint64_t>(found - cumulative_.begin());
  return std::min<std::uint64_t>(rank, cumulative_.size() - 1);
}

}  // namespace shedlever::load
