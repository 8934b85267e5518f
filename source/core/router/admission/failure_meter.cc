#include "source/core/router/admission/failure_meter.h"

#include <cmath>

namespace shedlever {

namespace {

constexpr Duration kHalfLife = std::chrono::seconds(1);
/// Successful requests assumed in advance, so that a few failures do not give a high ratio.
constexpr double kAssumedSuccesses = 4.0;

}  // namespace

double FailureMeter::decayFactor(TimePoint now) const {
  const auto half_lives = static_cast<double>((now - updated_at_).count()) / static_cast<double>(kHalfLife.count());
  return std::exp2(-half_lives);
}

void FailureMeter::record(bool failed, TimePoint now) {
  const double decay = decayFactor(now);
  ended_ = ended_ * decay + 1.0;
  failed_ = failed_ * decay + (failed ? 1.0 : 0.0);
  updated_at_ = now;
}

double FailureMeter::failureRatio(TimePoint now) const {
  if (failed_ == 0) {
    return 0;
  }
  const double decay = decayFactor(now);
  return failed_ * decay / (ended_ * decay + kAssumedSuccesses);
}

}  // namespace shedlever
