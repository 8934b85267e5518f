#pragma once

/// @file
/// Estimates how long keys in transfer to a server take until the server can serve them.

#include <functional>
#include <map>

#include "shedlever/router_frames.h"
#include "source/core/router/admission/duration_estimator.h"

namespace shedlever {

/// Measures each wait from the first request that could not be served. The estimate is used to refuse a request at
/// once, with a retry delay, when its key will not be available before the deadline.
class KeyWaitEstimator {
 public:
  /// Records a request for a key range that cannot be served yet.
  /// @param first first key of the range.
  void onWaiting(Key first, TimePoint now) { waiting_since_.try_emplace(first, now); }

  /// Records the duration of the waits that are over.
  /// @param is_waiting whether the range that begins at `first` still cannot be served.
  void update(const std::function<bool(Key first)>& is_waiting, TimePoint now);

  /// @return how much longer the range is expected to wait. Before the first wait has ended, the time it has already
  ///   waited.
  Duration expectedRemaining(Key first, TimePoint now) const;

 private:
  std::map<Key, TimePoint> waiting_since_;
  DurationEstimator durations_;
};

}  // namespace shedlever
