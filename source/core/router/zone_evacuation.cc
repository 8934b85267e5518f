#include "source/core/router/zone_evacuation.h"

#include <utility>

namespace shedlever {

namespace {

/// Requests for keys of an evacuated zone are begun there for this part of the time that operators give: the wish is
/// known everywhere after half of it, and what is on its way to the server needs the rest.
constexpr int kMovingKeysPercent = 30;
constexpr int kPercent = 100;

}  // namespace

bool ZoneEvacuation::update(bool evacuated, TimePoint now) {
  const bool at_start = !std::exchange(known_, true);
  if (!at_start && evacuated == evacuated_) {
    return false;
  }
  evacuated_ = evacuated;
  // Whoever learns of it at its start learns late: how much of the time that operators give is left is not known.
  complete_at_ = at_start ? now : now + time_limit_ * kMovingKeysPercent / kPercent;
  return true;
}

EvacuationPhase ZoneEvacuation::phase(TimePoint now) const {
  if (!known_) {
    return EvacuationPhase::Complete;
  }
  if (!evacuated_) {
    return EvacuationPhase::None;
  }
  return now < complete_at_ ? EvacuationPhase::MovingKeys : EvacuationPhase::Complete;
}

}  // namespace shedlever
