#pragma once

/// @file
/// Seeded random numbers for the load generator.

#include <cstdint>
#include <random>

namespace shedlever::load {

class RandomStream {
 public:
  explicit RandomStream(std::uint64_t seed) : engine_(seed) {}

  /// @return a number uniformly distributed in [0, 1). The sequence for a seed is the same on every platform.
  double fraction() {
    constexpr int kUnusedBits = 11;
    constexpr double kUnit = 1.0 / 9007199254740992.0;
    return static_cast<double>(engine_() >> kUnusedBits) * kUnit;
  }

  /// @return a number in [0, bound).
  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace shedlever::load
