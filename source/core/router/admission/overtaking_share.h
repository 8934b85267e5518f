#pragma once

/// @file
/// Limits the slot time of requests that overtake earlier ones.

#include "shedlever/time.h"

namespace shedlever {

/// While requests wait, those that start ahead of an earlier one get at most a share of the slot time, so that many
/// short requests do not starve the others. The rest is not saved up for later.
class OvertakingShare {
 public:
  /// Share of the slot time that overtaking requests may use while earlier ones wait.
  static constexpr double kMaxShare = 2.0 / 3.0;

  /// @return whether the next request may overtake; otherwise the earliest one is to start.
  bool mayOvertake() const { return debt_ <= Duration::zero(); }

  /// A request with this expected service time starts ahead of an earlier one.
  void onOvertaking(Duration service_time);
  /// The earliest request starts; `service_time` is its expected service time.
  void onInOrder(Duration service_time);

 private:
  /// Slot time used above the share; negative below it.
  Duration debt_{};
};

}  // namespace shedlever
