#pragma once

/// @file
/// Virtual time with scheduled events.

#include <functional>
#include <map>

#include "shedlever/time.h"

namespace shedlever::test {

/// Events run in the order of their times; events of equal times run in the order in which they were scheduled.
class Timeline {
 public:
  TimePoint now() const { return now_; }

  void after(Duration delay, std::function<void()> action) { events_.emplace(now_ + delay, std::move(action)); }

  /// Advances to a time and runs all events that are due by then.
  void advanceTo(TimePoint time) {
    while (!events_.empty() && events_.begin()->first <= time) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = time;
  }

 private:
  TimePoint now_{std::chrono::seconds(1)};
  std::multimap<TimePoint, std::function<void()>> events_;
};

}  // namespace shedlever::test
