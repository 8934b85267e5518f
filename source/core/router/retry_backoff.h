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
  RetryBackoff(Duration first, Duration most) : first_(first), most_(most) {}

  /// @return delay before the next try.
  Duration onFailure() {
    delay_ = delay_ == Duration::zero() ? first_ : std::min(delay_ * 2, most_);
    return delay_;
  }

  void onSuccess() { delay_ = Duration::zero(); }

 private:
  Duration first_;
  Duration most_;
  /// Of the last failure; zero after a success.
  Duration delay_{};
};

}  // namespace shedlever
