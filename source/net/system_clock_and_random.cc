#include "source/net/system_clock_and_random.h"

#include <array>
#include <cstdint>
#include <ctime>

namespace shedlever {

namespace {

Duration readClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

std::mt19937_64 seededGenerator() {
  std::random_device device;
  constexpr std::size_t kSeedWords = 8;
  std::array<std::uint32_t, kSeedWords> words{};
  for (std::uint32_t& word : words) {
    word = device();
  }
  std::seed_seq seed(words.begin(), words.end());
  return std::mt19937_64(seed);
}

}  // namespace

TimePoint BootTimeClock::now() const { return TimePoint(readClock(CLOCK_BOOTTIME)); }

SystemRandom::SystemRandom() : generator_(seededGenerator()) {}

std::uint64_t SystemRandom::next() { return generator_(); }

std::uint64_t wallClockMicroseconds() { return static_cast<std::uint64_t>(readClock(CLOCK_REALTIME).count()); }

}  // namespace shedlever
