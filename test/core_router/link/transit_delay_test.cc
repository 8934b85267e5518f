/// @file
/// Tests how late frames are found to be on links of different bandwidth.

#include "source/core/router/link/transit_delay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// What the sender's clock shows when the receiver's shows zero.
constexpr Duration kClockOffset = std::chrono::hours(70);
/// Least clock drift that a stream has to tolerate, in parts per million.
constexpr std::int64_t kDriftPpm = 200;

/// @return what the drift of the clocks may explain of a frame's lateness.
Duration maxDrift(Duration elapsed) { return elapsed * kDriftPpm / 1'000'000; }

/// A link on which frames queue behind each other, and the receiving end of a stream on it.
class Link {
 public:
  explicit Link(std::int64_t bits_per_second) : bits_per_second_(bits_per_second) {}

  void setBandwidth(std::int64_t bits_per_second) { bits_per_second_ = bits_per_second; }

  /// Another stream's bytes, which take the link.
  void occupy(TimePoint at, std::int64_t bytes) { free_at_ = std::max(free_at_, at) + transmissionTime(bytes); }

  /// @return by how much the frame is found to be late when it has arrived.
  Duration send(TimePoint at, std::int64_t bytes) {
    occupy(at, bytes);
    return delay_.onFrame(at.time_since_epoch() + kClockOffset, free_at_ + kPropagation);
  }

  Duration transmissionTime(std::int64_t bytes) const { return Duration(bytes * 8 * 1'000'000 / bits_per_second_); }

 private:
  static constexpr Duration kPropagation = std::chrono::microseconds(300);

  std::int64_t bits_per_second_;
  TimePoint free_at_{};
  TransitDelay delay_;
};

constexpr std::int64_t kSmallFrame = 500;
constexpr std::int64_t kBody = 1'000'000;
constexpr std::int64_t kMegabit = 1'000'000;

TEST(TransitDelayTest, FirstFrameIsNotLate) {
  TransitDelay delay;
  EXPECT_EQ(delay.onFrame(seconds(5), TimePoint(seconds(9000))), Duration::zero());
}

// Processes of earlier builds state no time; their frames must neither be late nor count as a usual delay.
TEST(TransitDelayTest, FrameThatStatesNoTimeIsNotLateAndTeachesNothing) {
  TransitDelay delay;
  delay.onFrame(seconds(5), TimePoint(seconds(9000)));
  EXPECT_EQ(delay.onFrame(Duration::zero(), TimePoint(seconds(9100))), Duration::zero());
  EXPECT_EQ(delay.onFrame(seconds(106), TimePoint(seconds(9102))), seconds(1) - maxDrift(seconds(102)));
}

class LinkTest : public ::testing::TestWithParam<std::int64_t> {};

// Guards against work for clients that left while their request was queued behind large bodies.
TEST_P(LinkTest, FrameBehindOtherStreamsBodiesIsLateByTheirTransmission) {
  Link link(GetParam());
  link.send(TimePoint(seconds(1)), kSmallFrame);
  constexpr int kBodies = 3;
  for (int i = 0; i < kBodies; ++i) {
    link.occupy(TimePoint(seconds(20)), kBody);
  }
  const Duration late = link.send(TimePoint(seconds(20)), kSmallFrame);
  const Duration expected = link.transmissionTime(kBody) * kBodies;
  EXPECT_LE(late, expected);
  EXPECT_GE(late, expected - maxDrift(seconds(20) + expected));
}

TEST_P(LinkTest, FramesOnAnIdleLinkAreNotLate) {
  Link link(GetParam());
  for (int second = 1; second <= 600; ++second) {
    EXPECT_EQ(link.send(TimePoint(seconds(second)), kSmallFrame), Duration::zero());
  }
}

INSTANTIATE_TEST_SUITE_P(Bandwidths, LinkTest, ::testing::Values(kMegabit, 10 * kMegabit, 200 * kMegabit));

TEST(TransitDelayTest, FramesAreLateWhenTheirLinkShrinksToATenthUnderLoad) {
  Link link(10 * kMegabit);
  link.send(TimePoint(seconds(1)), kSmallFrame);
  link.occupy(TimePoint(seconds(2)), kBody);
  const Duration before = link.send(TimePoint(seconds(2)), kSmallFrame);
  link.setBandwidth(kMegabit);
  link.occupy(TimePoint(seconds(10)), kBody);
  const Duration after = link.send(TimePoint(seconds(10)), kSmallFrame);
  EXPECT_NEAR(static_cast<double>(before.count()), 0.8e6, 5e3);
  EXPECT_NEAR(static_cast<double>(after.count()), 8e6, 10e3);
}

// Guards against requests that are refused as late although no queue delayed them.
TEST(TransitDelayTest, ClocksThatDriftApartMakeNoFrameLate) {
  for (const std::int64_t drift : {-kDriftPpm, kDriftPpm}) {
    TransitDelay delay;
    for (Duration elapsed = seconds(1); elapsed < minutes(30); elapsed += milliseconds(700)) {
      const Duration sender_clock = kClockOffset + elapsed - elapsed * drift / 1'000'000;
      EXPECT_EQ(delay.onFrame(sender_clock, TimePoint(elapsed)), Duration::zero());
    }
  }
}

// Guards against gateways that avoid a node long after its link has become free, or never do.
TEST(TransitDelayTest, PresentDelayIsThatOfTheLastSmallFrameLessTheTimeSince) {
  TransitDelay delay;
  delay.onSmallFrame(seconds(100), TimePoint(seconds(1)));
  EXPECT_EQ(delay.current(TimePoint(seconds(1))), Duration::zero());
  const Duration late = delay.onSmallFrame(seconds(101), TimePoint(seconds(4)));
  EXPECT_EQ(late, seconds(2) - maxDrift(seconds(3)));
  EXPECT_EQ(delay.current(TimePoint(seconds(4))), late);
  EXPECT_EQ(delay.current(TimePoint(seconds(5))), late - seconds(1));
  EXPECT_EQ(delay.current(TimePoint(seconds(9))), Duration::zero());
  delay.onSmallFrame(seconds(103), TimePoint(seconds(5)));
  delay.onSmallFrame(seconds(105), TimePoint(seconds(6)));
  EXPECT_EQ(delay.current(TimePoint(seconds(6))), Duration::zero()) << "a frame came through at once";
}

// The time that a body itself takes on the link says nothing about other frames.
TEST(TransitDelayTest, LargeFrameDoesNotChangeThePresentDelay) {
  TransitDelay delay;
  delay.onSmallFrame(seconds(100), TimePoint(seconds(1)));
  EXPECT_GT(delay.onFrame(seconds(101), TimePoint(seconds(4))), seconds(1));
  EXPECT_EQ(delay.current(TimePoint(seconds(4))), Duration::zero());
}

// Guards against requests that all count as late after the network path has become longer.
TEST(TransitDelayTest, LongerDelayIsTheUsualOneAfterTheWindow) {
  TransitDelay delay;
  delay.onFrame(seconds(1), TimePoint(seconds(1)));
  Duration late;
  for (Duration elapsed = seconds(2); elapsed < minutes(4); elapsed += seconds(1)) {
    late = delay.onFrame(elapsed, TimePoint(elapsed + milliseconds(40)));
    EXPECT_LE(late, milliseconds(40));
  }
  EXPECT_EQ(late, Duration::zero());
}

// Guards against a window so short that frames on a link that stays full count as punctual.
TEST(TransitDelayTest, FramesStayLateWhileALinkIsFullForAMinute) {
  TransitDelay delay;
  delay.onFrame(seconds(1), TimePoint(seconds(1)));
  for (Duration elapsed = seconds(2); elapsed < seconds(62); elapsed += milliseconds(500)) {
    EXPECT_GE(delay.onFrame(elapsed, TimePoint(elapsed + seconds(2))), milliseconds(1980));
  }
}

}  // namespace
}  // namespace shedlever::test
