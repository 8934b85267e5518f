#include "source/core/router/duration_estimator.h"

namespace shedlever {

namespace {

/// Share of the newest time in the mean and in the deviation: some 16 requests, a fraction of a second under load.
constexpr int kSmoothingDivisor = 16;

Duration magnitude(Duration time) { return time < Duration::zero() ? -time : time; }

}  // namespace

void DurationEstimator::record(const std::string& route, Duration time) {
  const auto found = estimates_.find(route);
  if (found == estimates_.end()) {
    estimates_.emplace(route, Estimate{time, time / 2});
    return;
  }
  Estimate& estimate = found->second;
  const Duration error = time - estimate.mean;
  estimate.mean += error / kSmoothingDivisor;
  estimate.deviation += (magnitude(error) - estimate.deviation) / kSmoothingDivisor;
}

Duration DurationEstimator::expected(const std::string& route, Duration otherwise) const {
  const auto found = estimates_.find(route);
  return found == estimates_.end() ? otherwise : found->second.mean + found->second.deviation;
}

}  // namespace shedlever
