#pragma once

/// @file
/// Acknowledgements that wait until what they promise is recorded, for a limited time.

#include <functional>
#include <vector>

#include "shedlever/time.h"

namespace shedlever {

class DeferredAcknowledgements {
 public:
  /// @param recorded whether what the acknowledgements promise is recorded now.
  explicit DeferredAcknowledgements(std::function<bool()> recorded) : recorded_(std::move(recorded)) {}

  /// Receives whether the acknowledgement is sent although nothing is recorded, because its time is over.
  using Send = std::function<void(bool overdue)>;
  /// Runs `send` once, possibly inside the call. @param until when it runs at the latest.
  void defer(TimePoint now, TimePoint until, Send send);

  /// Sends what need not wait any more. Call when something was recorded or time has passed.
  void sendDue(TimePoint now);

 private:
  struct Acknowledgement {
    TimePoint until{};
    Send send;
  };

  std::function<bool()> recorded_;
  std::vector<Acknowledgement> waiting_;
};

}  // namespace shedlever
