#include "source/core/router/tenant_turns.h"

#include <algorithm>

namespace shedlever {

double TenantTurns::peek(const TenantShare& tenant) const {
  const auto next = next_.find(tenant.name);
  return next == next_.end() ? now_ : std::max(now_, next->second);
}

void TenantTurns::take(const TenantShare& tenant) {
  const double weight = std::max(1U, tenant.weight);
  next_[tenant.name] = peek(tenant) + 1.0 / weight;
}

void TenantTurns::onServed(double turn) { now_ = std::max(now_, turn); }

void TenantTurns::reset() {
  now_ = 0;
  next_.clear();
}

}  // namespace shedlever
