#pragma once

/// @file
/// How late frames arrive on one direction of a stream, from the times at which they were sent and received.

#include <deque>

#include "shedlever/time.h"

namespace shedlever {

/// The clocks of two machines differ by an unknown amount, so that the time on the way can't be computed from one
/// frame. The least difference between the time of arrival and the time of sending that was seen lately stands for a
/// frame that met no queue; a frame is late by what it exceeds that.
class TransitDelay {
 public:
  /// @param sent_at monotonic time of the sender's machine when the frame was sent; zero if the frame does not state
  /// it.
  /// @param now monotonic time of this machine.
  /// @return by how much the frame is late; zero for the first frame and for those that state no time.
  Duration onFrame(Duration sent_at, TimePoint now);

  /// As above, for a frame so small that its own transmission is no part of its lateness.
  Duration onSmallFrame(Duration sent_at, TimePoint now);

  /// @return estimated lateness of a small frame that arrives now: the lateness of the last one less the time since
  ///   then, because a queue to which nothing is added is empty after the lateness of its last frame.
  Duration current(TimePoint now) const;

 private:
  /// The least difference of the clocks in one part of the window.
  struct Slice {
    TimePoint begin{};
    Duration least{};
    TimePoint seen_at{};
  };

  void learn(Duration difference, TimePoint now);

  /// Lateness of the last small frame, and when it arrived.
  Duration last_lateness_{};
  TimePoint last_at_{};
  /// Oldest first.
  std::deque<Slice> slices_;
};

}  // namespace shedlever
