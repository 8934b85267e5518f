#pragma once

/// @file
/// The single-threaded event loop of a process. All I/O runs on this loop.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "shedlever/time.h"
#include "source/net/event_handles.h"

namespace shedlever {

/// Identifies a timer of one loop. 0 is not a timer.
using TimerId = std::uint64_t;

/// Owns an event_base. Not thread-safe: all calls must be made in the thread that runs the loop.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until `stop` is called.
  void run();

  /// Makes `run` return after the current callback.
  void stop();

  /// Runs until `done` returns true or the timeout expires. For tests and short-lived commands.
  /// @param done checked before the first and after each iteration of the loop.
  /// @return the last result of `done`.
  bool runUntil(const std::function<bool()>& done, Duration timeout);

  /// Runs `callback` once after `delay`. The delay is measured with CLOCK_MONOTONIC, which does not advance while the
  /// machine is suspended. A timer may therefore run late after a suspension; code that depends on elapsed time
  /// compares times of a BootTimeClock.
  TimerId runAfter(Duration delay, std::function<void()> callback);

  /// Cancels a timer. Does nothing if the timer has run or the id is 0.
  void cancel(TimerId timer);

  /// Runs `callback` from the loop after the current callback. Posted callbacks run in the order of posting.
  void post(std::function<void()> callback);

  /// Runs `callback` from the loop, not in the signal handler, each time the process receives the signal.
  void onSignal(int signal_number, std::function<void()> callback);

  /// @return the libevent base. Only for the adapters in this folder.
  event_base* base() { return base_.get(); }

 private:
  struct Timer;
  struct Signal;
  void runPosted();

  EventBaseHandle base_;
  EventHandle post_event_;
  std::vector<std::function<void()>> posted_;
  std::unordered_map<TimerId, std::unique_ptr<Timer>> timers_;
  std::map<int, std::unique_ptr<Signal>> signals_;
  TimerId last_timer_ = 0;
};

}  // namespace shedlever
