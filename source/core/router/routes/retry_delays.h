#pragma once

/// @file
/// When a client that gets a refusal may come back.

#include "shedlever/time.h"

namespace shedlever {

/// Shortest retry delay that clients are told.
inline constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

/// Adds random jitter to retry delays.
class RetryDelays {
 public:
  /// @param random must outlive this object.
  explicit RetryDelays(RandomSource& random) : random_(random) {}

  /// @param wanted when a server is expected to take the request.
  /// @param time_left until the client gives up; longest duration for no limit.
  /// @return `wanted`, or `kMinRetryAfter` if that is longer, plus random jitter, so that clients that were refused
  ///   together don't come back together; at most what the client still honours.
  Duration next(Duration wanted, Duration time_left);

  /// As above for requests that no server takes earlier: the full time is told even if the client gives up before.
  Duration nextWithoutLimit(Duration wanted) { return next(wanted, Duration::max()); }

 private:
  RandomSource& random_;
};

}  // namespace shedlever
