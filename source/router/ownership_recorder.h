#pragma once

/// @file
/// Logs and counts changes of the owners of keys.

#include "source/core/router/ownership/owner_change.h"
#include "source/router/event_log.h"
#include "source/router/router_metrics.h"

namespace shedlever {

class OwnershipRecorder {
 public:
  /// @param clock, log, metrics outlive the recorder.
  OwnershipRecorder(const Clock& clock, EventLog& log, RouterMetrics& metrics)
      : clock_(clock), log_(log), metrics_(metrics) {}

  /// Writes one line, which names the first few transfers.
  void ownerChanged(const OwnerChange& change);

 private:
  const Clock& clock_;
  EventLog& log_;
  RouterMetrics& metrics_;
};

}  // namespace shedlever
