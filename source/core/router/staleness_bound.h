#pragma once

/// @file
/// Bounds how old what a process knows of the store's objects may be.

#include <cstddef>

#include "shedlever/time.h"
#include "source/core/router/retry_backoff.h"

namespace shedlever {

struct StalenessLimits {
  /// Before that nobody asks.
  Duration min_staleness = std::chrono::milliseconds(700);
  /// A process that has heard nothing for so long asks by itself: a change is to be in force after 2 s.
  Duration max_staleness = std::chrono::milliseconds(1500);
  /// Questions a second of all processes together, from `least` on: the first comes 0.25 s later on average, and is
  /// told on before many others ask.
  double queries_per_second = 4;
};

/// Decides when to ask the store whether there is anything newer.
///
/// Watches alone can't be relied on: one that was sent while the store was silent, or whose connection has gone silent,
/// is never answered, and looks like one for which there is no news. A process that has asked tells the others with its
/// replies, so that a few questions a second serve all of them, however many there are. Chance decides who asks: no
/// process is needed for it.
class StalenessBound {
 public:
  StalenessBound(const StalenessLimits& limits, TimePoint now);

  /// What is known was the newest at that time, as this process or another has asked.
  void noteFreshAt(TimePoint at);
  /// A question had no answer.
  void onFailed(TimePoint now);

  /// @return how long ago what is known was the newest for sure.
  Duration staleness(TimePoint now) const { return now - newest_at_; }

  /// @param processes that ask and tell each other, this one among them.
  /// @param random makes each process ask at its own time.
  /// @return whether to ask now. To be called often: each call covers the time since the one before.
  bool shouldQuery(TimePoint now, std::size_t processes, RandomSource& random);

 private:
  StalenessLimits limits_;
  RetryBackoff backoff_;
  TimePoint newest_at_;
  TimePoint last_call_;
  /// No question before, after one without an answer.
  TimePoint not_before_{};
};

}  // namespace shedlever
