#include "source/core/router/admission/key_wait_estimator.h"

namespace shedlever {

namespace {

/// All waits share one estimate.
constexpr const char* kAllWaits = "";

}  // namespace

void KeyWaitEstimator::update(const std::function<bool(Key first)>& is_waiting, TimePoint now) {
  std::erase_if(waiting_since_, [&](const auto& wait) {
    const auto& [first, since] = wait;
    if (is_waiting(first)) {
      return false;
    }
    durations_.record(kAllWaits, now - since);
    return true;
  });
}

Duration KeyWaitEstimator::expectedRemaining(Key first, TimePoint now) const {
  const auto found = waiting_since_.find(first);
  const Duration elapsed = found == waiting_since_.end() ? Duration::zero() : now - found->second;
  const Duration total = durations_.expected(kAllWaits, Duration::zero());
  // A wait longer than expected is assumed to take as long again.
  return total > elapsed ? total - elapsed : elapsed;
}

}  // namespace shedlever
