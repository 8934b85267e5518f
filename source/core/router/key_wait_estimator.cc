#include "source/core/router/key_wait_estimator.h"

namespace shedlever {

namespace {

/// All waits are measured together.
constexpr const char* kAllWaits = "";

}  // namespace

void KeyWaitEstimator::update(const std::function<bool(Key first)>& waits, TimePoint now) {
  std::erase_if(waiting_since_, [&](const auto& wait) {
    const auto& [first, since] = wait;
    if (waits(first)) {
      return false;
    }
    durations_.record(kAllWaits, now - since);
    return true;
  });
}

Duration KeyWaitEstimator::expectedRemaining(Key first, TimePoint now) const {
  const auto found = waiting_since_.find(first);
  const Duration passed = found == waiting_since_.end() ? Duration::zero() : now - found->second;
  const Duration whole = durations_.expected(kAllWaits, Duration::zero());
  // One that takes longer than most is as likely as not to take as long again.
  return whole > passed ? whole - passed : passed;
}

}  // namespace shedlever
