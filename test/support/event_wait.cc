#include "test/support/event_wait.h"

#include "source/net/system_sources.h"

namespace shedlever::test {

namespace {

constexpr Duration kAskAgain = std::chrono::milliseconds(10);

}  // namespace

bool waitFor(EventLoop& loop, const std::function<bool()>& reached, Duration cap) {
  const BootTimeClock clock;
  const TimePoint over = clock.now() + cap;
  while (!reached()) {
    if (clock.now() >= over) {
      return false;
    }
    runFor(loop, kAskAgain);
  }
  return true;
}

void runFor(EventLoop& loop, Duration time) {
  loop.runUntil([] { return false; }, time);
}

}  // namespace shedlever::test
