#pragma once

/// @file
/// When a server's heartbeat is acknowledged. A heartbeat whose acknowledgement would change nothing is kept for a
/// while: if keys come or go in the meantime the server hears of it at once, and not with its next heartbeat.

#include <functional>
#include <optional>

#include "shedlever/key_report.h"
#include "shedlever/time.h"

namespace shedlever {

class HeartbeatResponder {
 public:
  struct Ports {
    const Clock* clock = nullptr;
    /// Works out what to tell; none: nothing is said of keys.
    std::function<std::optional<KeyAssignment>(const KeyReport&, TimePoint received)> assign;
    std::function<bool(const KeyReport&)> would_change;
    /// The acknowledgement has been given.
    std::function<void()> on_acknowledged;
  };
  using Reply = std::function<void(const std::optional<KeyAssignment>&)>;

  /// @param longest_wait for news; zero: every heartbeat is acknowledged at once. Outlives the responder.
  HeartbeatResponder(const Duration& longest_wait, Ports ports) : max_wait_(longest_wait), ports_(std::move(ports)) {}

  /// A heartbeat that is newer than all before it. One that still waits is acknowledged without a word of keys.
  void onHeartbeat(KeyReport report, Reply reply);

  /// Keys may have changed, or time has passed.
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
