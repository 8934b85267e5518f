#include "source/core/router/failure_meter.h"

#include <cmath>

namespace shedlever {

namespace {

constexpr Duration kHalfLife = std::chrono::seconds(1);
/// Requests that are taken to have gone well before the first one.
constexpr double kAssumedSound = 4.0;

}  // namespace

double FailureMeter::fading(TimePoint now) const {
  const auto half_lives = static_cast<double>((now - noted_at_).count()) / static_cast<double>(kHalfLife.count());
  return std::exp2(-half_lives);
}

void FailureMeter::note(bool failed, TimePoint now) {
  const double fading_now = fading(now);
  ended_ = ended_ * fading_now + 1.0;
  failed_ = failed_ * fading_now + (failed ? 1.0 : 0.0);
  noted_at_ = now;
}

double FailureMeter::share(TimePoint now) const {
  if (failed_ == 0) {
    return 0;
  }
  const double fading_now = fading(now);
  return failed_ * fading_now / (ended_ * fading_now + kAssumedSound);
}

}  // namespace shedlever
