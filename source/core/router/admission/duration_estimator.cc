#include "source/core/router/admission/duration_estimator.h"

namespace shedlever {

namespace {

/// The newest sample has the weight 1/n in the mean and in the deviation, so that some 16 requests, a fraction of a
/// second under load, decide.
constexpr int kSmoothingDivisor = 16;

Duration absolute(Duration duration) { return duration < Duration::zero() ? -duration : duration; }

}  // namespace

void DurationEstimator::record(const std::string& key, Duration duration) {
  const auto found = estimates_.find(key);
  if (found == estimates_.end()) {
    estimates_.emplace(key, Estimate{duration, duration / 2});
    return;
  }
  Estimate& estimate = found->second;
  const Duration error = duration - estimate.mean;
  estimate.mean += error / kSmoothingDivisor;
  estimate.deviation += (absolute(error) - estimate.deviation) / kSmoothingDivisor;
}

Duration DurationEstimator::expected(const std::string& key, Duration fallback) const {
  const auto found = estimates_.find(key);
  return found == estimates_.end() ? fallback : found->second.mean + found->second.deviation;
}

}  // namespace shedlever
