#include "source/core/router/routes/retry_delays.h"

#include <algorithm>
#include <cstdint>

namespace shedlever {

namespace {

/// Maximum jitter as a multiple of the retry delay.
constexpr double kMaxJitter = 1.0;
/// Delays are at most the remaining time over this, because clients only honour those of up to a third of it.
constexpr int kMaxDelayDivisor = 4;

}  // namespace

Duration RetryDelays::next(Duration wanted, Duration time_left) {
  constexpr std::uint64_t kSteps = 1000;
  const double share = static_cast<double>(random_.below(kSteps)) / static_cast<double>(kSteps);
  const double min = static_cast<double>(std::max(wanted, kMinRetryAfter).count());
  const double max = static_cast<double>((time_left / kMaxDelayDivisor).count());
  const double delay = std::min(min * (1.0 + kMaxJitter * share), std::max(max, 0.0));
  return Duration(static_cast<Duration::rep>(delay));
}

}  // namespace shedlever
