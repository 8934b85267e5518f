/// @file
/// Grants in acknowledgements of heartbeats: what is told, what counts as held, when a range is let go of for sure.

#include "source/core/router/heartbeat_grants.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
/// Beyond what an earlier process could have told.
constexpr TimePoint kLater = kStart + seconds(10);
constexpr TimePoint kLeaseEnd = kStart + seconds(60);

OwnedRange ownRange(Key first, Key last, FenceToken token, const std::string& handover = {}) {
  OwnedRange range;
  range.keys = {first, last};
  range.owner = InstanceId("i-1");
  range.node = NodeName("n-1");
  range.token = token;
  range.handover = handover;
  return range;
}

class HeartbeatGrantsTest : public ::testing::Test {
 protected:
  std::optional<KeyAssignment> acknowledge(const std::vector<OwnedRange>& wanted, const KeyReport& report,
                                           TimePoint now) {
    grants_.onReport(report, now);
    auto assignment = grants_.assign(wanted, report, lease_until_, now, now);
    grants_.onAcknowledged();
    return assignment;
  }

  void release(const OwnedRange& range) {
    grants_.release(range, [this](const ReleaseResult& result) { released_.push_back(result.handover); });
  }

  OwnershipConfig config_;
  TimePoint lease_until_ = kLeaseEnd;
  std::vector<OwnedRange> superseded_;
  int newly_held_ = 0;
  std::vector<std::string> released_;
  HeartbeatGrants grants_{
      config_,
      kStart,
      {[this](const OwnedRange& range) { superseded_.push_back(range); }, [] {}, [this] { ++newly_held_; }}};
};

TEST_F(HeartbeatGrantsTest, TellsAllThatIsWantedWithItsHandover) {
  const auto told = acknowledge({ownRange(0, 9, 4, "h"), ownRange(20, 29, 5)}, {}, kLater);
  ASSERT_TRUE(told);
  ASSERT_EQ(told->ranges.size(), 2U);
  EXPECT_EQ(told->ranges[0].handover, "h");
  EXPECT_EQ(told->ranges[1].token, 5U);
  EXPECT_EQ(told->hold_duration, config_.heartbeat_hold);
  EXPECT_TRUE(grants_.isHeld(5, kLater));
  EXPECT_FALSE(grants_.isHeld(15, kLater));
  EXPECT_EQ(newly_held_, 1);
}

TEST_F(HeartbeatGrantsTest, HandoverIsNotTakenTwice) {
  const std::vector<OwnedRange> wanted = {ownRange(0, 9, 4, "h")};
  acknowledge(wanted, {}, kLater);
  const auto told = acknowledge(wanted, {{{0, 9, 4}}, {}}, kLater + seconds(1));
  EXPECT_EQ(told->ranges.front().handover, "");
  EXPECT_EQ(newly_held_, 1);
}

TEST_F(HeartbeatGrantsTest, NothingOutlastsTheLease) {
  lease_until_ = kLater + seconds(1);
  const auto told = acknowledge({ownRange(0, 9, 4)}, {}, kLater);
  ASSERT_TRUE(told);
  EXPECT_LE(kLater + told->hold_duration * config_.clock_drift_factor, lease_until_);
  lease_until_ = kLater + milliseconds(100);
  EXPECT_FALSE(acknowledge({ownRange(0, 9, 4)}, {}, kLater)) << "too little is left to tell anything";
}

TEST_F(HeartbeatGrantsTest, HeldIsNotReliedOnAsLongAsTheServerMayHoldIt) {
  acknowledge({ownRange(0, 9, 4)}, {}, kLater);
  EXPECT_TRUE(grants_.isHeld(5, kLater + config_.heartbeat_hold - milliseconds(1100)));
  EXPECT_FALSE(grants_.isHeld(5, kLater + config_.heartbeat_hold - milliseconds(900)));
}

TEST_F(HeartbeatGrantsTest, ReleasedRangeIsServedUntilItIsLeftOut) {
  const OwnedRange range = ownRange(0, 9, 4);
  acknowledge({range}, {}, kLater);
  release(range);
  EXPECT_TRUE(grants_.isHeld(5, kLater + milliseconds(500)));
  const auto told = acknowledge({}, {{{0, 9, 4}}, {}}, kLater + milliseconds(870));
  EXPECT_TRUE(told->ranges.empty());
  EXPECT_FALSE(grants_.isHeld(5, kLater + milliseconds(870)));
  EXPECT_TRUE(released_.empty());
  acknowledge({}, {{}, {{0, 9, "h-1"}}}, kLater + milliseconds(970));
  EXPECT_EQ(released_, std::vector<std::string>{"h-1"});
}

TEST_F(HeartbeatGrantsTest, WantedRangeThatIsBeingReleasedIsNotTold) {
  const OwnedRange range = ownRange(0, 9, 4);
  acknowledge({range}, {}, kLater);
  release(range);
  EXPECT_TRUE(acknowledge({range}, {{{0, 9, 4}}, {}}, kLater + seconds(1))->ranges.empty());
}

TEST_F(HeartbeatGrantsTest, ReleaseWaitsForAllItsPieces) {
  const OwnedRange range = ownRange(0, 9, 4);
  acknowledge({range}, {}, kLater);
  release(range);
  acknowledge({}, {{{0, 9, 4}}, {}}, kLater + milliseconds(100));
  acknowledge({}, {{{5, 9, 4}}, {{0, 4, "h-1"}}}, kLater + milliseconds(200));
  EXPECT_TRUE(released_.empty());
  acknowledge({}, {{}, {{5, 9, "h-2"}}}, kLater + milliseconds(300));
  EXPECT_EQ(released_.size(), 1U);
}

TEST_F(HeartbeatGrantsTest, WhatWasReleasedBeforeTheReleaseBeganDoesNotCount) {
  const OwnedRange range = ownRange(0, 9, 4);
  acknowledge({range}, {}, kLater);
  release(range);
  // Of an earlier time: the server had not been told yet.
  acknowledge({}, {{{0, 9, 4}}, {{0, 9, "old"}}}, kLater + milliseconds(100));
  EXPECT_TRUE(released_.empty());
}

// Seen: ranges were joined under a new token, the server said that it had
// released an old one while it held the joined one, and a piece of that went to another server.
TEST_F(HeartbeatGrantsTest, RangeThatIsHeldUnderANewTokenIsNotReleasedByItsOldOne) {
  const OwnedRange joined = ownRange(0, 99, 9);
  acknowledge({ownRange(0, 49, 4), ownRange(50, 99, 5)}, {}, kLater);
  acknowledge({joined}, {{{0, 49, 4}, {50, 99, 5}}, {}}, kLater + milliseconds(100));
  OwnedRange piece = joined;
  piece.keys = {10, 19};
  release(piece);
  acknowledge({}, {{{0, 99, 9}, {0, 49, 4}}, {}}, kLater + milliseconds(200));
  // Work under the old token has ended; under the new one it goes on.
  acknowledge({}, {{{0, 99, 9}}, {{0, 49, "old"}}}, kLater + milliseconds(300));
  EXPECT_TRUE(released_.empty());
  acknowledge({}, {{}, {{0, 99, "new"}}}, kLater + milliseconds(400));
  EXPECT_EQ(released_, std::vector<std::string>{"new"});
}

TEST_F(HeartbeatGrantsTest, UnansweredReleaseEndsWhenAllThatWasToldHasRunOut) {
  const OwnedRange range = ownRange(0, 9, 4);
  acknowledge({range}, {}, kLater);
  release(range);
  const auto longest = std::chrono::duration_cast<Duration>(config_.heartbeat_hold * config_.clock_drift_factor);
  grants_.update({}, kLeaseEnd, kLater + longest - milliseconds(1));
  EXPECT_TRUE(released_.empty());
  grants_.update({}, kLeaseEnd, kLater + longest);
  EXPECT_EQ(released_.size(), 1U);
}

TEST_F(HeartbeatGrantsTest, WhatAnEarlierProcessMayHaveToldIsWaitedFor) {
  release(ownRange(0, 9, 4, "h"));
  grants_.update({}, kLeaseEnd, kStart + config_.heartbeat_hold);
  EXPECT_TRUE(released_.empty());
  grants_.update({}, kLeaseEnd, kLater);
  EXPECT_EQ(released_, std::vector<std::string>{"h"}) << "nobody has used the last holder's handover";
}

TEST_F(HeartbeatGrantsTest, RefusedRequestShowsThatTheKeyIsNotHeld) {
  acknowledge({ownRange(0, 9, 4)}, {}, kLater);
  grants_.onKeyRefused(5);
  EXPECT_FALSE(grants_.isHeld(5, kLater));
  acknowledge({ownRange(0, 9, 4)}, {{{0, 9, 4}}, {}}, kLater + milliseconds(870));
  EXPECT_TRUE(grants_.isHeld(5, kLater + milliseconds(870)));
}

TEST_F(HeartbeatGrantsTest, RangeThatTheServerNeverReportsIsGivenANewToken) {
  const std::vector<OwnedRange> wanted = {ownRange(0, 9, 4)};
  for (int i = 0; i < 5; ++i) {
    acknowledge(wanted, {}, kLater + milliseconds(870) * i);
  }
  EXPECT_EQ(superseded_, wanted);
  EXPECT_FALSE(grants_.isHeld(5, kLater + milliseconds(870) * 4));
}

TEST_F(HeartbeatGrantsTest, RangesBeyondWhatFitsWaitAndThoseHeldStay) {
  std::vector<OwnedRange> wanted;
  for (Key i = 0; i < 200; ++i) {
    wanted.push_back(ownRange(static_cast<Key>(i * 10), static_cast<Key>(i * 10 + 9), i + 1));
  }
  const OwnedRange& last = wanted.back();
  const auto told = acknowledge(wanted, {{{last.keys.first, last.keys.last, last.token}}, {}}, kLater);
  EXPECT_LT(told->ranges.size(), wanted.size());
  const auto is_last = [&](const AssignedRange& range) { return range.token == last.token; };
  EXPECT_TRUE(std::any_of(told->ranges.begin(), told->ranges.end(), is_last));
}

TEST_F(HeartbeatGrantsTest, NewsIsWhatDiffersFromWhatTheServerHolds) {
  const std::vector<OwnedRange> wanted = {ownRange(0, 9, 4), ownRange(10, 19, 4)};
  EXPECT_FALSE(grants_.wouldChange(wanted, {{{0, 19, 4}}, {}}));
  EXPECT_TRUE(grants_.wouldChange(wanted, {{{0, 9, 4}}, {}}));
  EXPECT_TRUE(grants_.wouldChange(wanted, {{{0, 19, 3}}, {}}));
  EXPECT_TRUE(grants_.wouldChange(wanted, {{{0, 29, 4}}, {}}));
  EXPECT_FALSE(grants_.wouldChange({}, {}));
}

TEST_F(HeartbeatGrantsTest, SilentServerHoldsNothingAfterAWhile) {
  acknowledge({ownRange(0, 9, 4)}, {}, kLater);
  EXPECT_FALSE(grants_.allLapsed(kLater + config_.heartbeat_hold));
  EXPECT_TRUE(grants_.allLapsed(kLater + config_.heartbeat_hold * 2));
}

}  // namespace
}  // namespace shedlever::test
