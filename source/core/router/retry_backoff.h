#pragma once

/// @file
/// How long to wait before a call that failed is made again.

#include <algorithm>

#include "shedlever/time.h"

namespace shedlever {

/// The delay doubles with each failure in a row, up to a limit, and starts anew after a success. Each call to the store
/// costs as much when it is refused, and one that is refused to a node often goes on being refused for seconds.
class RetryBackoff {
 public:
  RetryBackoff(Duration initial_delay, Duration max_delay) : initial_delay_(initial_delay), max_delay_(max_delay) {}

  /// @return delay before the next try.
  Duration onFailure() {
    delay_ = delay_ == Duration::zero() ? initial_delay_ : std::min(delay_ * 2, max_delay_);
    return delay_;
  }

  void onSuccess() { delay_ = Duration::zero(); }

 private:
  Duration initial_delay_;
  Duration max_delay_;
  /// Of the last failure; zero after a success.
  Duration delay_{};
};

}  // namespace shedlever
