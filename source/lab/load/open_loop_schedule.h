#pragma once

/// @file
/// Due times of an open-loop load, which do not depend on response times.

#include "shedlever/time.h"
#include "source/lab/load/random_stream.h"

namespace shedlever::load {

/// Poisson arrivals at a mean rate.
class OpenLoopSchedule {
 public:
  /// @param rate requests per second, above 0.
  OpenLoopSchedule(double rate, std::uint64_t seed);

  /// @return the next due time since the start of the load; never decreases.
  Duration next();

 private:
  double rate_;
  double seconds_ = 0;
  RandomStream random_;
};

}  // namespace shedlever::load
