#include "source/core/router/admission/overtaking_share.h"

#include <algorithm>

namespace shedlever {

namespace {

Duration part(Duration duration, double share) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(duration) * share);
}

}  // namespace

void OvertakingShare::onOvertaking(Duration service_time) { debt_ += part(service_time, 1.0 - kMaxShare); }

void OvertakingShare::onInOrder(Duration service_time) {
  const Duration allowed = part(service_time, kMaxShare);
  debt_ = std::max(debt_ - allowed, -allowed);
}

}  // namespace shedlever
