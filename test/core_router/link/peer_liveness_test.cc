/// @file
/// Tests when a peer is found to be behind or silent.

#include "source/core/router/link/peer_liveness.h"

#include <gtest/gtest.h>

#include <deque>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kCheckInterval = milliseconds(50);

/// A peer that answers pings after a delay while a request waits, checked as often as by the router.
class WaitingRequest {
 public:
  explicit WaitingRequest(Duration round_trip) : round_trip_(round_trip) {}

  void setRoundTrip(Duration round_trip) { round_trip_ = round_trip; }
  void stopAnswering() { answers_ = false; }

  /// Runs checks until the time since the start of the request.
  /// @return whether the peer was behind at any of them.
  bool runUntil(Duration until) {
    bool behind = false;
    for (; now_ < kStart + until; now_ += milliseconds(1)) {
      while (!pongs_.empty() && pongs_.front() <= now_) {
        liveness_.onPong(now_);
        pongs_.pop_front();
      }
      if ((now_ - kStart) % kCheckInterval == Duration::zero()) {
        check(behind);
      }
    }
    return behind;
  }

  bool isSilent() const { return liveness_.isSilent(now_); }
  int pings() const { return pings_; }

 private:
  void check(bool& behind) {
    behind = behind || liveness_.behindBy(now_, kStart) > Duration::zero();
    if (liveness_.mustPing(now_, kStart)) {
      ++pings_;
      liveness_.onPinged(now_);
      if (answers_) {
        pongs_.push_back(now_ + round_trip_);
      }
    }
  }

  PeerLiveness liveness_{kStart};
  Duration round_trip_;
  bool answers_ = true;
  TimePoint now_ = kStart;
  std::deque<TimePoint> pongs_;
  int pings_ = 0;
};

// Guards against new requests to a stalled node until it counts as silent.
TEST(PeerLivenessTest, PeerThatSaysNothingIsBehindWithin200MillisecondsAndSilentAt800) {
  WaitingRequest request(milliseconds(1));
  request.stopAnswering();
  EXPECT_TRUE(request.runUntil(milliseconds(201)));
  EXPECT_FALSE(request.isSilent());
  request.runUntil(milliseconds(750));
  EXPECT_FALSE(request.isSilent());
  request.runUntil(milliseconds(900));
  EXPECT_TRUE(request.isSilent());
}

TEST(PeerLivenessTest, PeerThatStallsLaterIsBehindWithin200Milliseconds) {
  WaitingRequest request(milliseconds(1));
  EXPECT_FALSE(request.runUntil(seconds(5)));
  request.stopAnswering();
  EXPECT_TRUE(request.runUntil(seconds(5) + milliseconds(201)));
}

// Guards against a healthy node that gets fewer requests because one of them runs for long.
TEST(PeerLivenessTest, PeerThatAnswersPingsKeepsUpWhileARequestRuns) {
  WaitingRequest request(milliseconds(2));
  EXPECT_FALSE(request.runUntil(seconds(20)));
  EXPECT_LE(request.pings(), 20 * 10);
}

// Guards against nodes of a distant region that always count as behind.
TEST(PeerLivenessTest, PeerWithALongRoundTripKeepsUpOnceItIsKnown) {
  WaitingRequest request(milliseconds(180));
  request.runUntil(seconds(1));
  EXPECT_FALSE(request.runUntil(seconds(20)));
}

TEST(PeerLivenessTest, PeerWhosePongsAreHeldUpOnAFullLinkIsBehind) {
  WaitingRequest request(milliseconds(1));
  EXPECT_FALSE(request.runUntil(seconds(1)));
  request.setRoundTrip(milliseconds(600));
  EXPECT_TRUE(request.runUntil(milliseconds(1300)));
  EXPECT_FALSE(request.isSilent());
}

// Replies that were delayed for a second arrive one after the other, all with outdated loads.
TEST(PeerLivenessTest, PeerWhoseRepliesWereHeldUpIsBehindAlthoughFramesArrive) {
  PeerLiveness liveness(kStart);
  const TimePoint now = kStart + seconds(3);
  liveness.onFrame(now - seconds(1), now);
  EXPECT_GT(liveness.behindBy(now, kStart), milliseconds(800));
  liveness.onFrame(now, now);
  EXPECT_LE(liveness.behindBy(now, kStart), Duration::zero());
}

TEST(PeerLivenessTest, PeerIsNotBehindBeforeARequestHasWaited) {
  PeerLiveness liveness(kStart);
  const TimePoint much_later = kStart + seconds(3600);
  EXPECT_LE(liveness.behindBy(much_later, much_later), Duration::zero());
  EXPECT_FALSE(liveness.mustPing(much_later, much_later));
}

}  // namespace
}  // namespace shedlever::test
