#pragma once

/// @file
/// Estimates how long requests wait for their key to get an owner.

#include "shedlever/identifiers.h"
#include "source/core/router/admission/duration_estimator.h"

namespace shedlever {

/// Waits of recent requests, by service.
class OwnerWaits {
 public:
  /// A request of the service has waited this long.
  void record(const ServiceName& service, Duration wait, TimePoint now);

  /// @param since when the request began to wait.
  /// @return how much longer it is expected to wait, based on other requests; zero if none ended its wait recently.
  Duration expectedRest(const ServiceName& service, TimePoint since, TimePoint now) const;

 private:
  DurationEstimator waits_;
  TimePoint recorded_at_{};
};

}  // namespace shedlever
