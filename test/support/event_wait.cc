#include "test/support/event_wait.h"

#include "source/net/system_clock_and_random.h"

namespace shedlever::test {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(10);

}  // namespace

bool waitFor(EventLoop& loop, const std::function<bool()>& condition, Duration limit) {
  const BootTimeClock clock;
  const TimePoint deadline = clock.now() + limit;
  while (!condition()) {
    if (clock.now() >= deadline) {
      return false;
    }
    runFor(loop, kPollInterval);
  }
  return true;
}

void runFor(EventLoop& loop, Duration duration) {
  loop.runUntil([] { return false; }, duration);
}

}  // namespace shedlever::test
