#pragma once

/// @file
/// Whether the peer of a stream keeps up, has fallen behind or is silent, from the times at which its frames were sent.

#include <optional>

#include "shedlever/time.h"

namespace shedlever {

/// While requests wait for a peer, it is behind when its newest frame was sent longer ago than `kBehindAge`, and silent
/// when it leaves a ping unanswered. Without waiting requests the peer has nothing to send, so silence means nothing.
class PeerLiveness {
 public:
  /// Age of the peer's newest frame above which the peer is behind. Checked every 50 ms, so noticed within 200 ms.
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
  /// @return by how much the age of the peer's newest frame exceeds the limit; zero or less if the peer keeps up.
  Duration behindBy(TimePoint now, TimePoint waiting_since) const;

  /// When the last frame was received; when the stream was opened if there was none.
  TimePoint lastReceivedAt() const { return last_received_at_; }

 private:
  TimePoint last_received_at_;
  /// When the newest frame was sent.
  TimePoint said_at_;
  /// When the unanswered ping was sent.
  std::optional<TimePoint> pinged_at_;
  /// Shortest time from a ping to its pong; std::nullopt before the first pong.
  std::optional<Duration> round_trip_;
};

}  // namespace shedlever
