#include "source/core/router/routes/owner_waits.h"

#include <algorithm>

namespace shedlever {

namespace {

/// Recorded waits are ignored once the last one is older than this.
constexpr Duration kMaxAge = std::chrono::seconds(2);

}  // namespace

void OwnerWaits::record(const ServiceName& service, Duration wait, TimePoint now) {
  waits_.record(service.value, wait);
  recorded_at_ = now;
}

Duration OwnerWaits::expectedRest(const ServiceName& service, TimePoint since, TimePoint now) const {
  if (now - recorded_at_ > kMaxAge) {
    return Duration::zero();
  }
  const Duration whole = waits_.expected(service.value, Duration::zero());
  return std::max(whole - (now - since), Duration::zero());
}

}  // namespace shedlever
