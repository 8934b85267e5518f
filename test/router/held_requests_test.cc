/// @file
/// Requests that wait at the gate for their key.

#include "source/router/held_requests.h"

#include <gtest/gtest.h>

#include "test/support/manual_clock.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Key kRange = 100;

class HeldRequestsTest : public ::testing::Test {
 protected:
  struct Released {
    QueueTicket ticket = 0;
    ForwardReason reason = ForwardReason::None;
    Duration remaining{};

    bool operator==(const Released&) const = default;
  };

  std::optional<Duration> hold(QueueTicket ticket, Duration max_wait = milliseconds(300)) {
    ForwardFrame frame;
    frame.remaining_us = Duration(seconds(2)).count();
    ForwardCallback done = [](const ForwardReplyFrame&) {};
    return held_.hold(ticket, frame, done, kRange, max_wait);
  }

  /// Releases the requests while this reason applies to all of them. @return the released ones.
  std::vector<Released> release(ForwardReason reason) {
    std::vector<Released> released;
    held_.release([reason](const ForwardFrame&, TimePoint) { return reason; },
                  [&](QueueTicket ticket, const ForwardFrame& frame, const ForwardCallback&, ForwardReason why) {
                    released.push_back({ticket, why, Duration(frame.remaining_us)});
                  });
    return released;
  }

  void pass(Duration duration) { clock_.advance(duration); }

  ManualClock clock_;
  HeldRequests held_{clock_};
};

TEST_F(HeldRequestsTest, RequestIsHeldWhileItsKeyIsInTransitAndReleasedInOrderAfterwards) {
  hold(1);
  hold(2);
  EXPECT_TRUE(release(ForwardReason::NotYetOwner).empty());
  pass(milliseconds(200));
  const Duration left = seconds(2) - milliseconds(200);
  EXPECT_EQ(release(ForwardReason::None),
            (std::vector<Released>{{1, ForwardReason::None, left}, {2, ForwardReason::None, left}}));
  EXPECT_TRUE(held_.empty());
}

// Guards against a request that may wait for a slot as if it had not been held, and is answered after its objective.
TEST_F(HeldRequestsTest, TimeHeldCountsAsTimeSinceArrival) {
  ForwardFrame frame;
  frame.remaining_us = Duration(seconds(2)).count();
  frame.elapsed_us = Duration(milliseconds(50)).count();
  ForwardCallback done = [](const ForwardReplyFrame&) {};
  held_.hold(1, frame, done, kRange, milliseconds(300));
  pass(milliseconds(200));
  Duration elapsed{};
  held_.release([](const ForwardFrame&, TimePoint) { return ForwardReason::None; },
                [&](QueueTicket, const ForwardFrame& released, const ForwardCallback&, ForwardReason) {
                  elapsed = Duration(released.elapsed_us);
                });
  EXPECT_EQ(elapsed, milliseconds(250));
}

TEST_F(HeldRequestsTest, RequestWhoseKeyDoesNotComeInTimeIsReleasedWithTheReason) {
  hold(1);
  pass(milliseconds(299));
  EXPECT_TRUE(release(ForwardReason::NotYetOwner).empty());
  pass(milliseconds(1));
  const std::vector<Released> released = release(ForwardReason::NotYetOwner);
  ASSERT_EQ(released.size(), 1U);
  EXPECT_EQ(released.front().reason, ForwardReason::NotYetOwner);
}

TEST_F(HeldRequestsTest, RequestThatMayNotStartAnyMoreIsReleasedAtOnce) {
  hold(1);
  const std::vector<Released> released = release(ForwardReason::NotOwner);
  ASSERT_EQ(released.size(), 1U);
  EXPECT_EQ(released.front().reason, ForwardReason::NotOwner);
}

TEST_F(HeldRequestsTest, CancelledRequestIsNotReleased) {
  hold(1);
  held_.cancel(1);
  held_.cancel(7);
  EXPECT_TRUE(release(ForwardReason::None).empty());
}

// Guards against requests that are held although earlier keys took longer than they can wait.
TEST_F(HeldRequestsTest, RequestIsNotHeldIfKeysTakeLongerThanItCanWait) {
  hold(1);
  pass(milliseconds(400));
  held_.updateWaits([](Key) { return false; });
  release(ForwardReason::None);
  const std::optional<Duration> expected = hold(2);
  ASSERT_TRUE(expected.has_value());
  EXPECT_GE(*expected, milliseconds(400));
  EXPECT_TRUE(held_.empty());
  EXPECT_EQ(hold(3, seconds(1)), std::nullopt);
}

// The callback of a request may cancel others, for example when its client's connection ends.
TEST_F(HeldRequestsTest, RequestsMayBeCancelledWhileOthersAreReleased) {
  hold(1);
  hold(2);
  int released = 0;
  held_.release([](const ForwardFrame&, TimePoint) { return ForwardReason::None; },
                [&](QueueTicket, const ForwardFrame&, const ForwardCallback&, ForwardReason) {
                  ++released;
                  held_.cancel(2);
                });
  EXPECT_EQ(released, 1);
}

}  // namespace
}  // namespace shedlever::test
