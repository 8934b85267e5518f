/// @file
/// Grants by heartbeat: contents of acknowledgements, held ranges and the end of releases.

#include "source/core/router/ownership/heartbeat_grants.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
/// No grant by an earlier process lasts until then.
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

TEST_F(HeartbeatGrantsTest, AssignsAllWantedRangesWithTheirHandovers) {
  const auto assignment = acknowledge({ownRange(0, 9, 4, "h"), ownRange(20, 29, 5)}, {}, kLater);
  ASSERT_TRUE(assignment);
  ASSERT_EQ(assignment->ranges.size(), 2U);
  EXPECT_EQ(assignment->ranges[0].handover, "h");
  EXPECT_EQ(assignment->ranges[1].token, 5U);
  EXPECT_EQ(assignment->hold_duration, config_.heartbeat_hold);
  EXPECT_TRUE(grants_.isHeld(5, kLater));
  EXPECT_FALSE(grants_.isHeld(15, kLater));
  EXPECT_EQ(newly_held_, 1);
}

TEST_F(HeartbeatGrantsTest, HandoverIsNotSentAgainOnceTheRangeIsHeld) {
  const std::vector<OwnedRange> wanted = {ownRange(0, 9, 4, "h")};
  acknowledge(wanted, {}, kLater);
  const auto assignment = acknowledge(wanted, {{{0, 9, 4}}, {}}, kLater + seconds(1));
  EXPECT_EQ(assignment->ranges.front().handover, "");
  EXPECT_EQ(newly_held_, 1);
}

TEST_F(HeartbeatGrantsTest, NoGrantOutlastsTheLease) {
  lease_until_ = kLater + seconds(1);
  const auto assignment = acknowledge({ownRange(0, 9, 4)}, {}, kLater);
  ASSERT_TRUE(assignment);
  EXPECT_LE(kLater + assignment->hold_duration * config_.clock_drift_factor, lease_until_);
  lease_until_ = kLater + milliseconds(100);
  EXPECT_FALSE(acknowledge({ownRange(0, 9, 4)}, {}, kLater)) << "too little of the lease is left for a grant";
}

TEST_F(HeartbeatGrantsTest, RangeCountsAsHeldForLessTimeThanTheServerMayHoldIt) {
  acknowledge({ownRange(0, 9, 4)}, {}, kLater);
  EXPECT_TRUE(grants_.isHeld(5, kLater + config_.heartbeat_hold - milliseconds(1100)));
  EXPECT_FALSE(grants_.isHeld(5, kLater + config_.heartbeat_hold - milliseconds(900)));
}

TEST_F(HeartbeatGrantsTest, RangeBeingReleasedIsHeldUntilItIsOmitted) {
  const OwnedRange range = ownRange(0, 9, 4);
  acknowledge({range}, {}, kLater);
  release(range);
  EXPECT_TRUE(grants_.isHeld(5, kLater + milliseconds(500)));
  const auto assignment = acknowledge({}, {{{0, 9, 4}}, {}}, kLater + milliseconds(870));
  EXPECT_TRUE(assignment->ranges.empty());
  EXPECT_FALSE(grants_.isHeld(5, kLater + milliseconds(870)));
  EXPECT_TRUE(released_.empty());
  acknowledge({}, {{}, {{0, 9, "h-1"}}}, kLater + milliseconds(970));
  EXPECT_EQ(released_, std::vector<std::string>{"h-1"});
}

TEST_F(HeartbeatGrantsTest, WantedRangeThatIsBeingReleasedIsNotAssigned) {
  const OwnedRange range = ownRange(0, 9, 4);
  acknowledge({range}, {}, kLater);
  release(range);
  EXPECT_TRUE(acknowledge({range}, {{{0, 9, 4}}, {}}, kLater + seconds(1))->ranges.empty());
}

TEST_F(HeartbeatGrantsTest, ReleaseEndsOnlyAfterAllPiecesAreReleased) {
  const OwnedRange range = ownRange(0, 9, 4);
  acknowledge({range}, {}, kLater);
  release(range);
  acknowledge({}, {{{0, 9, 4}}, {}}, kLater + milliseconds(100));
  acknowledge({}, {{{5, 9, 4}}, {{0, 4, "h-1"}}}, kLater + milliseconds(200));
  EXPECT_TRUE(released_.empty());
  acknowledge({}, {{}, {{5, 9, "h-2"}}}, kLater + milliseconds(300));
  EXPECT_EQ(released_.size(), 1U);
}

TEST_F(HeartbeatGrantsTest, ReportOfAnEarlierReleaseIsIgnored) {
  const OwnedRange range = ownRange(0, 9, 4);
  acknowledge({range}, {}, kLater);
  release(range);
  // An earlier release: the server has not been asked for this one yet.
  acknowledge({}, {{{0, 9, 4}}, {{0, 9, "old"}}}, kLater + milliseconds(100));
  EXPECT_TRUE(released_.empty());
}

// The release of a range under an old token must not count while the server holds the merged range under a new token.
TEST_F(HeartbeatGrantsTest, ReleaseUnderAnOldTokenIsIgnoredWhileHeldUnderANewOne) {
  const OwnedRange merged = ownRange(0, 99, 9);
  acknowledge({ownRange(0, 49, 4), ownRange(50, 99, 5)}, {}, kLater);
  acknowledge({merged}, {{{0, 49, 4}, {50, 99, 5}}, {}}, kLater + milliseconds(100));
  OwnedRange piece = merged;
  piece.keys = {10, 19};
  release(piece);
  acknowledge({}, {{{0, 99, 9}, {0, 49, 4}}, {}}, kLater + milliseconds(200));
  // Work under the old token has ended; work under the new one continues.
  acknowledge({}, {{{0, 99, 9}}, {{0, 49, "old"}}}, kLater + milliseconds(300));
  EXPECT_TRUE(released_.empty());
  acknowledge({}, {{}, {{0, 99, "new"}}}, kLater + milliseconds(400));
  EXPECT_EQ(released_, std::vector<std::string>{"new"});
}

TEST_F(HeartbeatGrantsTest, UnansweredReleaseEndsWhenAllGrantsHaveExpired) {
  const OwnedRange range = ownRange(0, 9, 4);
  acknowledge({range}, {}, kLater);
  release(range);
  const auto max_hold = std::chrono::duration_cast<Duration>(config_.heartbeat_hold * config_.clock_drift_factor);
  grants_.update({}, kLeaseEnd, kLater + max_hold - milliseconds(1));
  EXPECT_TRUE(released_.empty());
  grants_.update({}, kLeaseEnd, kLater + max_hold);
  EXPECT_EQ(released_.size(), 1U);
}

TEST_F(HeartbeatGrantsTest, ReleaseWaitsForGrantsOfAnEarlierProcess) {
  release(ownRange(0, 9, 4, "h"));
  grants_.update({}, kLeaseEnd, kStart + config_.heartbeat_hold);
  EXPECT_TRUE(released_.empty());
  grants_.update({}, kLeaseEnd, kLater);
  EXPECT_EQ(released_, std::vector<std::string>{"h"}) << "the previous owner's handover is unused";
}

TEST_F(HeartbeatGrantsTest, KeyIsNotHeldAfterARefusedRequest) {
  acknowledge({ownRange(0, 9, 4)}, {}, kLater);
  grants_.onKeyRefused(5);
  EXPECT_FALSE(grants_.isHeld(5, kLater));
  acknowledge({ownRange(0, 9, 4)}, {{{0, 9, 4}}, {}}, kLater + milliseconds(870));
  EXPECT_TRUE(grants_.isHeld(5, kLater + milliseconds(870)));
}

TEST_F(HeartbeatGrantsTest, UnreportedRangeIsSupersededAndNotHeld) {
  const std::vector<OwnedRange> wanted = {ownRange(0, 9, 4)};
  for (int i = 0; i < 5; ++i) {
    acknowledge(wanted, {}, kLater + milliseconds(870) * i);
  }
  EXPECT_EQ(superseded_, wanted);
  EXPECT_FALSE(grants_.isHeld(5, kLater + milliseconds(870) * 4));
}

TEST_F(HeartbeatGrantsTest, HeldRangesTakePrecedenceIfNotAllRangesFit) {
  std::vector<OwnedRange> wanted;
  for (Key i = 0; i < 200; ++i) {
    wanted.push_back(ownRange(static_cast<Key>(i * 10), static_cast<Key>(i * 10 + 9), i + 1));
  }
  const OwnedRange& last = wanted.back();
  const auto assignment = acknowledge(wanted, {{{last.keys.first, last.keys.last, last.token}}, {}}, kLater);
  EXPECT_LT(assignment->ranges.size(), wanted.size());
  const auto is_last = [&](const AssignedRange& range) { return range.token == last.token; };
  EXPECT_TRUE(std::any_of(assignment->ranges.begin(), assignment->ranges.end(), is_last));
}

TEST_F(HeartbeatGrantsTest, AssignmentThatDiffersFromTheHeldRangesIsAChange) {
  const std::vector<OwnedRange> wanted = {ownRange(0, 9, 4), ownRange(10, 19, 4)};
  EXPECT_FALSE(grants_.wouldChange(wanted, {{{0, 19, 4}}, {}}));
  EXPECT_TRUE(grants_.wouldChange(wanted, {{{0, 9, 4}}, {}}));
  EXPECT_TRUE(grants_.wouldChange(wanted, {{{0, 19, 3}}, {}}));
  EXPECT_TRUE(grants_.wouldChange(wanted, {{{0, 29, 4}}, {}}));
  EXPECT_FALSE(grants_.wouldChange({}, {}));
}

TEST_F(HeartbeatGrantsTest, GrantsLapseWithoutHeartbeats) {
  acknowledge({ownRange(0, 9, 4)}, {}, kLater);
  EXPECT_FALSE(grants_.allLapsed(kLater + config_.heartbeat_hold));
  EXPECT_TRUE(grants_.allLapsed(kLater + config_.heartbeat_hold * 2));
}

}  // namespace
}  // namespace shedlever::test
