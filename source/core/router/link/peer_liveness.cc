#include "source/core/router/link/peer_liveness.h"

#include <algorithm>

namespace shedlever {

namespace {

/// A peer is pinged when nothing was received from it for this time while requests wait for it. Leaves time for the
/// pong before the peer counts as behind.
constexpr Duration kPingAfterSilence = std::chrono::milliseconds(75);
/// A peer that does not respond to a ping within this time counts as silent.
constexpr Duration kPongTimeout = std::chrono::milliseconds(700);

}  // namespace

void PeerLiveness::onFrame(TimePoint sent_at, TimePoint now) {
  last_received_at_ = now;
  said_at_ = std::max(said_at_, sent_at);
  pinged_at_.reset();
}

void PeerLiveness::onPong(TimePoint now) {
  last_received_at_ = now;
  if (!pinged_at_) {
    return;
  }
  const Duration round_trip = now - *pinged_at_;
  round_trip_ = std::min(round_trip_.value_or(round_trip), round_trip);
  // A pong that takes longer than the shortest round trip was delayed, so it counts as sent that much earlier.
  said_at_ = std::max(said_at_, *pinged_at_ + *round_trip_);
  pinged_at_.reset();
}

bool PeerLiveness::mustPing(TimePoint now, TimePoint waiting_since) const {
  return !pinged_at_ && now - std::max(waiting_since, last_received_at_) >= kPingAfterSilence;
}

bool PeerLiveness::isSilent(TimePoint now) const { return pinged_at_ && now - *pinged_at_ >= kPongTimeout; }

Duration PeerLiveness::behindBy(TimePoint now, TimePoint waiting_since) const {
  const Duration age = now - std::max(waiting_since, said_at_);
  return age - kBehindAge - round_trip_.value_or(Duration::zero());
}

}  // namespace shedlever
