#include "source/core/router/admission/response_size_estimator.h"

namespace shedlever {

namespace {

/// Weight of the newest sample in the moving average.
constexpr double kNewestSampleWeight = 0.1;

}  // namespace

void ResponseSizeEstimator::record(RouteKind kind, std::size_t bytes) {
  double& mean = means_.at(static_cast<std::size_t>(kind));
  const auto size = static_cast<double>(bytes);
  mean = mean == 0 ? size : mean + (size - mean) * kNewestSampleWeight;
}

double ResponseSizeEstimator::expectedBytes(RouteKind kind) const {
  const double mean = means_.at(static_cast<std::size_t>(kind));
  return mean < kLargeResponseBytes ? 0 : mean;
}

}  // namespace shedlever
