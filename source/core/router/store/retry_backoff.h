#pragma once

/// @file
/// Exponential backoff between retries of a failed call.

#include <algorithm>

#include "shedlever/time.h"

namespace shedlever {

/// The delay doubles with each consecutive failure, up to a limit, and is reset by a success. A refused store call
/// costs as much as a successful one, and refusals often last for seconds.
class RetryBackoff {
 public:
  RetryBackoff(Duration initial_delay, Duration max_delay) : initial_delay_(initial_delay), max_delay_(max_delay) {}

  /// @return delay before the next attempt.
  Duration onFailure() {
    delay_ = delay_ == Duration::zero() ? initial_delay_ : std::min(delay_ * 2, max_delay_);
    return delay_;
  }

  void onSuccess() { delay_ = Duration::zero(); }

 private:
  Duration initial_delay_;
  Duration max_delay_;
  /// Delay after the last failure; zero after a success.
  Duration delay_{};
};

}  // namespace shedlever
