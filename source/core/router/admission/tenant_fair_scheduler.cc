#include "source/core/router/admission/tenant_fair_scheduler.h"

#include <algorithm>

namespace shedlever {

double TenantFairScheduler::nextStartTag(const TenantShare& tenant) const {
  const auto next = next_start_tags_.find(tenant.name);
  return next == next_start_tags_.end() ? virtual_time_ : std::max(virtual_time_, next->second);
}

void TenantFairScheduler::onQueued(const TenantShare& tenant) {
  const double weight = std::max(1U, tenant.weight);
  next_start_tags_[tenant.name] = nextStartTag(tenant) + 1.0 / weight;
}

void TenantFairScheduler::onServed(double start_tag) { virtual_time_ = std::max(virtual_time_, start_tag); }

void TenantFairScheduler::reset() {
  virtual_time_ = 0;
  next_start_tags_.clear();
}

}  // namespace shedlever
