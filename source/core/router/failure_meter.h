#pragma once

/// @file
/// How many of a server's requests fail of late.

#include "shedlever/time.h"

namespace shedlever {

/// Counts that fade with time, so that a server that is sent nothing comes to be taken for sound again.
class FailureMeter {
 public:
  /// A request that the server was sent has ended.
  void record(bool failed, TimePoint now);

  /// @return share of those that failed, from 0 to 1; small while few have ended.
  double failureRatio(TimePoint now) const;

  /// The server is another one.
  void reset() { *this = {}; }

 private:
  double decayFactor(TimePoint now) const;

  double ended_ = 0;
  double failed_ = 0;
  TimePoint updated_at_{};
};

}  // namespace shedlever
