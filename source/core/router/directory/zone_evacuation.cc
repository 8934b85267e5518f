#include "source/core/router/directory/zone_evacuation.h"

#include <utility>

namespace shedlever {

namespace {

/// Share of the evacuation time for which requests for keys of the zone are still started after a node learns of the
/// evacuation. Every node learns of it within half of the evacuation time; the rest is left for requests on their way
/// to the server.
constexpr int kMovingKeysPercent = 30;
constexpr int kPercent = 100;

}  // namespace

bool ZoneEvacuation::update(bool evacuated, TimePoint now) {
  const bool at_start = !std::exchange(known_, true);
  if (!at_start && evacuated == evacuated_) {
    return false;
  }
  evacuated_ = evacuated;
  // A process that learns of the evacuation at its start does not know how much of the evacuation time is left.
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
