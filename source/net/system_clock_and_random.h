#pragma once

/// @file
/// The time and the random numbers of the machine. Simulators and tests use their own.

#include <random>

#include "shedlever/time.h"

namespace shedlever {

/// Reads CLOCK_BOOTTIME, which counts on while the machine is suspended.
class BootTimeClock final : public Clock {
 public:
  TimePoint now() const override;
};

/// A generator seeded from the operating system. Not for secrets.
class SystemRandom final : public RandomSource {
 public:
  SystemRandom();
  std::uint64_t next() override;

 private:
  std::mt19937_64 generator_;
};

/// @return microseconds of wall-clock time, as an Incarnation is made of.
std::uint64_t wallClockMicroseconds();

}  // namespace shedlever
