#pragma once

/// @file
/// Zipf distribution over ranks.

#include <cstdint>
#include <vector>

namespace shedlever::load {

/// Rank k (from 0) has a probability proportional to 1/(k+1)^skew.
class ZipfDistribution {
 public:
  /// @param count number of ranks, at least 1.
  /// @param skew exponent; 0 makes all ranks equally likely.
  ZipfDistribution(std::uint64_t count, double skew);

  /// @param fraction uniformly distributed in [0, 1).
  std::uint64_t rankAt(double fraction) const;

 private:
  /// Cumulative probabilities.
  std::vector<double> cumulative_;
};

}  // namespace shedlever::load
