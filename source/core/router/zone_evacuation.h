#pragma once

/// @file
/// What the operators' wish that the servers of a zone get nothing means for one server of it.

#include <cstdint>

#include "shedlever/time.h"

namespace shedlever {

enum class EvacuationPhase : std::uint8_t {
  None,
  MovingKeys,  ///< requests for the server's keys are begun while the keys go to other zones
  Complete,    ///< nothing is begun; also while it is not known whether there is such a wish
};

/// Follows the wish for the zone of one server.
class ZoneEvacuation {
 public:
  /// @param within servers get nothing any more so long after operators have asked for it; zero where they can't.
  explicit ZoneEvacuation(Duration within) : time_limit_(within), known_(within == Duration::zero()) {}

  /// It is known whether the zone is evacuated. @return whether that has changed, or was not known before.
  bool update(bool evacuated, TimePoint now);

  bool evacuated() const { return evacuated_; }
  EvacuationPhase phase(TimePoint now) const;

 private:
  Duration time_limit_;
  bool known_;
  bool evacuated_ = false;
  /// From then on nothing is begun.
  TimePoint complete_at_{};
};

}  // namespace shedlever
