#include "source/core/router/shared_retry_budget.h"

#include <algorithm>

namespace shedlever {

namespace {

/// Even where the slack is shared by very many processes, one repeat must fit into a bucket.
constexpr double kSmallestCapacity = 1.0;

}  // namespace

double SharedRetryBudget::capacity() const {
  const double part = config_.slack / static_cast<double>(std::max<std::size_t>(processes_, 1));
  return std::max(part, kSmallestCapacity);
}

double& SharedRetryBudget::bucketOf(const ServiceName& service) {
  return buckets_.try_emplace(service, capacity()).first->second;
}

void SharedRetryBudget::onRequest(const ServiceName& service) {
  double& bucket = bucketOf(service);
  bucket = std::min(bucket + config_.ratio, capacity());
}

bool SharedRetryBudget::spend(const ServiceName& service) {
  double& bucket = bucketOf(service);
  if (bucket < 1.0) {
    return false;
  }
  bucket -= 1.0;
  return true;
}

}  // namespace shedlever
