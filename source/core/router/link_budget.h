#pragma once

/// @file
/// How many bytes may be handed to a machine's link now, so that little waits in front of it: a token bucket.

#include <cstddef>

#include "shedlever/time.h"

namespace shedlever {

struct LinkConfig {
  /// What the link carries; 0: it never is the limit.
  double bytes_per_second = 0;
  /// Part of it that is used for paced bytes, as headers of the network take some.
  double used_fraction = 0.9;
  /// Bytes may run ahead by what the link carries in this time.
  Duration burst = std::chrono::milliseconds(20);
  /// But by no less than this.
  std::size_t min_burst_bytes = 32U << 10U;
};

class LinkBudget {
 public:
  explicit LinkBudget(const LinkConfig& config) : config_(config), tokens_(capacity()) {}

  bool isLimited() const { return config_.bytes_per_second > 0; }

  /// Bytes have been handed over, allowed or not.
  void spend(std::size_t bytes, TimePoint now);

  /// @return zero when bytes may be handed over now; otherwise how long to wait.
  Duration timeUntilAvailable(TimePoint now);

  /// @return how long the link takes to carry so many bytes.
  Duration transmissionTime(double bytes) const;

 private:
  double rate() const { return config_.bytes_per_second * config_.used_fraction; }
  double capacity() const;
  void refill(TimePoint now);

  LinkConfig config_;
  double tokens_;
  TimePoint refilled_at_{};
};

}  // namespace shedlever
