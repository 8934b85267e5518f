#pragma once

/// @file
/// Decides when a server's heartbeat is acknowledged. The acknowledgement is held back while it would change nothing,
/// so that a change of keys reaches the server at once and not after its next heartbeat.

#include <functional>
#include <optional>

#include "shedlever/key_report.h"
#include "shedlever/time.h"

namespace shedlever {

class HeartbeatResponder {
 public:
  struct Ports {
    const Clock* clock = nullptr;
    /// Computes the key assignment of the acknowledgement; none: it contains no keys.
    std::function<std::optional<KeyAssignment>(const KeyReport&, TimePoint received)> assign;
    std::function<bool(const KeyReport&)> would_change;
    /// The acknowledgement has been sent.
    std::function<void()> on_acknowledged;
  };
  using Reply = std::function<void(const std::optional<KeyAssignment>&)>;

  /// @param max_wait longest time for which an acknowledgement is held back; zero: every heartbeat is acknowledged at
  ///   once. Must outlive the responder.
  HeartbeatResponder(const Duration& max_wait, Ports ports) : max_wait_(max_wait), ports_(std::move(ports)) {}

  /// Handles a heartbeat that is newer than all earlier ones. A pending earlier heartbeat is acknowledged without keys.
  void onHeartbeat(KeyReport report, Reply reply);

  /// Call when keys may have changed or time has passed.
  void respondIfDue();

 private:
  struct PendingHeartbeat {
    KeyReport report;
    Reply reply;
    TimePoint received{};
  };

  void respond();

  const Duration& max_wait_;
  Ports ports_;
  std::optional<PendingHeartbeat> pending_;
};

}  // namespace shedlever
