#pragma once

/// @file
/// Limits how stale a process's knowledge of the objects in the store can get.

#include <cstddef>

#include "shedlever/time.h"
#include "source/core/router/store/retry_backoff.h"

namespace shedlever {

struct StalenessLimits {
  /// Processes do not query the store before this staleness.
  Duration min_staleness{};
  /// A process queries the store at this staleness at the latest.
  Duration max_staleness{};
  /// Queries per second of all processes together, from `min_staleness` on. The first comes 0.25 s later on average,
  /// and its result reaches other processes before many of them query.
  double queries_per_second = 4;
};

/// @param time_limit time after which a change must be in effect in every process. The longer it is, the more processes
///   learn of a query's result from each other before they query themselves.
StalenessLimits stalenessLimitsFor(Duration time_limit);

/// Decides when to query the store for changes.
///
/// Watches alone are unreliable: one that was sent while the store did not answer, or whose connection has failed
/// silently, looks like one without changes. A process that has queried passes the result on with its replies, so that
/// a few queries per second serve any number of processes. The querying process is chosen at random, so that no
/// particular one is needed.
class StalenessBound {
 public:
  StalenessBound(const StalenessLimits& limits, TimePoint now);

  /// The known data was current at that time, according to a query by this or another process.
  void noteFreshAt(TimePoint at);
  /// A query got no answer.
  void onFailed(TimePoint now);

  /// @return time since the known data was last confirmed as current.
  Duration staleness(TimePoint now) const { return now - newest_at_; }

  /// @param process_count number of processes that share their results, including this one.
  /// @param random spreads the queries of the processes over time.
  /// @return whether to query now. Call often: each call covers the time since the previous one.
  bool shouldQuery(TimePoint now, std::size_t process_count, RandomSource& random);

 private:
  StalenessLimits limits_;
  RetryBackoff backoff_;
  TimePoint newest_at_;
  TimePoint last_call_;
  /// No query before this time, after one without an answer.
  TimePoint not_before_{};
};

}  // namespace shedlever
