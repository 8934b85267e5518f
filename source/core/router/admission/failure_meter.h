#pragma once

/// @file
/// Measures the ratio of a server's recent requests that failed.

#include "shedlever/time.h"

namespace shedlever {

/// Exponentially decayed counts. The ratio of a server that receives no requests decays, so that it is tried again.
class FailureMeter {
 public:
  /// Records that a request sent to the server has ended.
  void record(bool failed, TimePoint now);

  /// @return ratio of failed to ended requests, from 0 to 1; biased towards 0 while few requests have ended.
  double failureRatio(TimePoint now) const;

  /// Discards all counts; call when another server instance takes over.
  void reset() { *this = {}; }

 private:
  double decayFactor(TimePoint now) const;

  double ended_ = 0;
  double failed_ = 0;
  TimePoint updated_at_{};
};

}  // namespace shedlever
