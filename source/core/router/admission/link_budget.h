#pragma once

/// @file
/// Token bucket that limits how many bytes are written to a machine's network link, so that its send queue stays short.

#include <cstddef>

#include "shedlever/time.h"

namespace shedlever {

/// Messages of at least this size are paced where the link is limited. Smaller ones are sent between their pieces.
inline constexpr std::size_t kMinPacedMessageBytes = 24U << 10U;

struct LinkConfig {
  /// Bandwidth of the link; 0 disables the limit.
  double bytes_per_second = 0;
  /// Fraction of the bandwidth for paced bytes; the rest is left to protocol headers.
  double used_fraction = 0.9;
  /// The bucket holds what the link carries in this time ...
  Duration burst = std::chrono::milliseconds(20);
  /// ... but at least this many bytes.
  std::size_t min_burst_bytes = 32U << 10U;
};

class LinkBudget {
 public:
  explicit LinkBudget(const LinkConfig& config) : config_(config), tokens_(capacity()) {}

  bool isLimited() const { return config_.bytes_per_second > 0; }

  /// Takes the bytes from the bucket, which may become negative.
  void spend(std::size_t bytes, TimePoint now);

  /// @return zero if bytes may be written now; otherwise the time until then.
  Duration timeUntilAvailable(TimePoint now);

  /// @return time that the link takes to transmit the bytes; zero without a limit.
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
