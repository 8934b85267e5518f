#pragma once

/// @file
/// How long keys that are on their way to a server take until they are served.

#include <functional>
#include <map>

#include "shedlever/router_frames.h"
#include "source/core/router/duration_estimator.h"

namespace shedlever {

/// Measures from the first request that could not be served. Who asks for a key that will not be served in time is
/// refused at once, and told when it will be.
class KeyWaitEstimator {
 public:
  /// A request came for a range of keys that can't be served yet.
  /// @param first key of the range.
  void onWaiting(Key first, TimePoint now) { waiting_since_.try_emplace(first, now); }

  /// Ends the waits that are over. @param waits whether the range that begins there can't be served yet.
  void update(const std::function<bool(Key first)>& waits, TimePoint now);

  /// @return how much longer the range is expected to wait; zero before the first wait has ended.
  Duration expectedRemaining(Key first, TimePoint now) const;

 private:
  std::map<Key, TimePoint> waiting_since_;
  DurationEstimator durations_;
};

}  // namespace shedlever
