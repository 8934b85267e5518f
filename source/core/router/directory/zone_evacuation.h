#pragma once

/// @file
/// Effect of a zone evacuation, as requested by operators, on one server of the zone.

#include <cstdint>

#include "shedlever/time.h"

namespace shedlever {

enum class EvacuationPhase : std::uint8_t {
  None,
  MovingKeys,  ///< requests for the server's keys are started while the keys move to other zones
  Complete,    ///< no requests are started; also while it is unknown whether the zone is evacuated
};

/// Tracks the evacuation of the zone of one server.
class ZoneEvacuation {
 public:
  /// @param time_limit time after the operators' request at which servers get no more requests; zero if zones cannot be
  ///   evacuated.
  explicit ZoneEvacuation(Duration time_limit) : time_limit_(time_limit), known_(time_limit == Duration::zero()) {}

  /// Sets whether the zone is evacuated.
  /// @return whether that has changed or was unknown before.
  bool update(bool evacuated, TimePoint now);

  bool evacuated() const { return evacuated_; }
  EvacuationPhase phase(TimePoint now) const;

 private:
  Duration time_limit_;
  bool known_;
  bool evacuated_ = false;
  /// From then on no requests are started.
  TimePoint complete_at_{};
};

}  // namespace shedlever
