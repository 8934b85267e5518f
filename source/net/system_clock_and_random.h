#pragma once

/// @file
/// The machine's clocks and random numbers. Simulators and tests use their own implementations.

#include <random>

#include "shedlever/time.h"

namespace shedlever {

/// Reads CLOCK_BOOTTIME, which also advances while the machine is suspended.
class BootTimeClock final : public Clock {
 public:
  TimePoint now() const override;
};

/// A generator seeded by the operating system. Not for cryptographic use.
class SystemRandom final : public RandomSource {
 public:
  SystemRandom();
  std::uint64_t next() override;

 private:
  std::mt19937_64 generator_;
};

/// @return the wall-clock time in microseconds since the Unix epoch. Used to create an Incarnation.
std::uint64_t wallClockMicroseconds();

}  // namespace shedlever
