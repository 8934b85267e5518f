#pragma once

/// @file
/// Whether the peer of a stream keeps up, has fallen behind or is silent, from the times of what it says.

#include <optional>

#include "shedlever/time.h"

namespace shedlever {

/// A peer on which requests wait is behind when the newest thing that it has said is older than `kBehindAge`, and
/// silent when it leaves a ping unanswered. Only requests that wait make a silence meaningful, since nothing else is
/// owed an answer.
class PeerLiveness {
 public:
  /// Age of the newest news above which a peer is behind. Checked every 50 ms, it is noticed within 200 ms.
  static constexpr Duration kBehindAge = std::chrono::milliseconds(150);

  /// @param opened when the stream was opened.
  explicit PeerLiveness(TimePoint opened) : last_received_at_(opened), said_at_(opened) {}

  /// A frame other than a pong has arrived.
  /// @param sent_at when it was sent by this machine's clock; `now` if that is not known.
  void onFrame(TimePoint sent_at, TimePoint now);
  void onPong(TimePoint now);
  void onPinged(TimePoint now) { pinged_at_ = now; }

  /// @param waiting_since since when a request waits on the stream.
  /// @return whether to ping the peer.
  bool mustPing(TimePoint now, TimePoint waiting_since) const;
  /// @return whether the peer has left a ping unanswered for too long.
  bool isSilent(TimePoint now) const;
  /// @return by how much the peer's news is older than it may be; zero or less if the peer keeps up.
  Duration behindBy(TimePoint now, TimePoint waiting_since) const;

  /// When the last frame was received; when the stream was opened if there was none.
  TimePoint lastReceivedAt() const { return last_received_at_; }

 private:
  TimePoint last_received_at_;
  /// When the newest frame was sent.
  TimePoint said_at_;
  /// When the unanswered ping was sent.
  std::optional<TimePoint> pinged_at_;
  /// Shortest time from a ping to its pong; zero if there was none.
  std::optional<Duration> round_trip_;
};

}  // namespace shedlever
