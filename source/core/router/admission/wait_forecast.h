#pragma once

/// @file
/// Predicts how long a request waits for a slot, including what arrives later and goes ahead of it.

#include <cstddef>
#include <vector>

#include "shedlever/time.h"
#include "source/core/router/admission/start_rate_limiter.h"

namespace shedlever {

/// What goes ahead of a request already.
struct WorkAhead {
  std::size_t requests = 0;
  /// Time that they occupy a slot, in seconds.
  double slot_seconds = 0;
  /// Sum of the mean absolute deviations of their service times, in seconds.
  double deviation_seconds = 0;
  /// Variance of the slot time that does not come from the service times, in square seconds.
  double count_variance = 0;
};

/// Requests that arrive later and go ahead.
struct OvertakingFlow {
  double per_second = 0;
  /// Time that each occupies a slot, in seconds.
  double service_seconds = 0;
  /// Mean absolute deviation of that time, in seconds.
  double deviation_seconds = 0;
  /// Only those that arrive within this time go ahead, in seconds; infinite if all do.
  double window_seconds = 0;
};

/// The server as the prediction sees it.
struct WaitModel {
  /// At least 1.
  std::uint32_t slots = 1;
  const StartRateLimiter& start_rate;
  TimePoint now{};
  /// Factor by which requests run longer than the service times say.
  double slowdown = 1.0;
};

/// The predicted wait of a request.
struct WaitForecast {
  /// At most `kMaxForecast`; the longest duration if the server has no slots.
  Duration expected{};
  /// Part of the expected wait that is due to requests that have not arrived yet.
  Duration overtaking{};
  /// Estimated standard deviation of the wait.
  Duration deviation{};
};

/// Longest predicted wait: the rates of the last half second say little about a longer time.
inline constexpr Duration kMaxForecast = std::chrono::seconds(5);

/// @return the wait of a request that has this work ahead.
WaitForecast forecastWait(const WaitModel& model, const WorkAhead& ahead, const std::vector<OvertakingFlow>& flows);

}  // namespace shedlever
