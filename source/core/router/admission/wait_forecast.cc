#include "source/core/router/admission/wait_forecast.h"

#include <algorithm>
#include <cmath>

namespace shedlever {

namespace {

/// Maximum number of iteration steps; reached if overtaking requests take nearly all slots.
constexpr int kMaxSteps = 64;
/// The iteration ends when a step adds less than this to the wait.
constexpr Duration kPrecision = std::chrono::milliseconds(1);

Duration toDuration(double seconds) {
  const double longest = std::chrono::duration<double>(kMaxForecast).count();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, longest)));
}

/// @return the work ahead of a request that waits for this time.
WorkAhead addOvertaking(WorkAhead work, const std::vector<OvertakingFlow>& flows, Duration wait) {
  const double wait_seconds = std::chrono::duration<double>(wait).count();
  double requests = 0;
  for (const OvertakingFlow& flow : flows) {
    const double overtaking = flow.per_second * std::min(wait_seconds, flow.window_seconds);
    requests += overtaking;
    work.slot_seconds += overtaking * flow.service_seconds;
    // Poisson arrivals: the variance of their number is its mean.
    work.count_variance += overtaking * flow.service_seconds * flow.service_seconds;
    work.deviation_seconds += overtaking * flow.deviation_seconds;
  }
  work.requests += static_cast<std::size_t>(std::lround(requests));
  return work;
}

Duration waitFor(const WaitModel& model, const WorkAhead& work) {
  const Duration by_slots = toDuration(work.slot_seconds * model.slowdown / model.slots);
  const Duration by_rate = model.start_rate.timeUntilStartBehind(work.requests, model.now);
  return std::min(std::max(by_slots, by_rate), kMaxForecast);
}

Duration deviationOf(const WaitModel& model, const WorkAhead& work) {
  // The service times at one server grow together, so that their deviations add up.
  const double deviation = std::hypot(work.deviation_seconds, std::sqrt(work.count_variance));
  return toDuration(deviation * model.slowdown / model.slots);
}

}  // namespace

WaitForecast forecastWait(const WaitModel& model, const WorkAhead& ahead, const std::vector<OvertakingFlow>& flows) {
  const Duration without_overtaking = waitFor(model, ahead);
  WorkAhead work = ahead;
  Duration wait = without_overtaking;
  for (int step = 0; step < kMaxSteps && wait < kMaxForecast; ++step) {
    work = addOvertaking(ahead, flows, wait);
    const Duration next = waitFor(model, work);
    if (next < wait + kPrecision) {
      break;
    }
    wait = next;
  }
  return {wait, wait - without_overtaking, deviationOf(model, work)};
}

}  // namespace shedlever
