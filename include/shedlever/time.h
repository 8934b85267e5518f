#pragma once

/// @file
/// Time types and interfaces to clocks and random numbers. Core classes never read a clock; the time is passed to them
/// with each event.

#include <chrono>
#include <cstdint>

namespace shedlever {

using Duration = std::chrono::microseconds;

/// Clock tag for the boot time of the process's machine (CLOCK_BOOTTIME). The clock advances while the machine is
/// suspended, so that a resumed process can determine how long it was suspended. Time points of different processes are
/// not comparable.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;
};

using TimePoint = BootClock::time_point;

/// A time that is never reached.
inline constexpr TimePoint kNever = TimePoint::max();

/// Source of the current time.
class Clock {
 public:
  virtual ~Clock() = default;

  /// @return the current boot time.
  virtual TimePoint now() const = 0;
};

/// Source of random numbers; seeded in tests and the simulator.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  /// @return 64 uniformly distributed bits.
  virtual std::uint64_t next() = 0;

  /// @param bound exclusive upper bound, at least 1.
  /// @return a number in [0, bound).
  std::uint64_t below(std::uint64_t bound) { return next() % bound; }
};

}  // namespace shedlever
