#include "source/core/router/routes/shared_retry_budget.h"

#include <algorithm>

namespace shedlever {

namespace {

/// A bucket must hold at least one retry, however many processes share the slack.
constexpr double kMinCapacity = 1.0;

}  // namespace

const RetryBudgetConfig& SharedRetryBudget::configOf(const ServiceName& service) const {
  const auto own = configs_.find(service);
  return own == configs_.end() ? config_ : own->second;
}

double SharedRetryBudget::capacity(const ServiceName& service) const {
  const double part = configOf(service).slack / static_cast<double>(std::max<std::size_t>(process_count_, 1));
  return std::max(part, kMinCapacity);
}

double& SharedRetryBudget::bucketOf(const ServiceName& service) {
  return buckets_.try_emplace(service, capacity(service)).first->second;
}

void SharedRetryBudget::onRequest(const ServiceName& service) {
  double& bucket = bucketOf(service);
  bucket = std::min(bucket + configOf(service).ratio, capacity(service));
}

bool SharedRetryBudget::trySpend(const ServiceName& service) {
  double& bucket = bucketOf(service);
  if (bucket < 1.0) {
    return false;
  }
  bucket -= 1.0;
  return true;
}

}  // namespace shedlever
