/// @file
/// Which keys a node moves away, and when.

#include "source/core/router/ownership/key_balancer.h"

#include <gtest/gtest.h>

#include "source/lab/sim/virtual_store.h"
#include "test/support/serving_node.h"

namespace shedlever::test {
namespace {

const ServiceName kService("maps");
constexpr TimePoint kStart{std::chrono::seconds(50)};
constexpr TimePoint kNow = kStart + std::chrono::seconds(1);
constexpr std::uint32_t kSlots = 10;
constexpr double kServiceSeconds = 0.1;
constexpr double kManyFail = 0.9;

OwnerLocation location(const std::string& node) { return {InstanceId("i-" + node), NodeName(node)}; }

const InstanceId kSelf("i-self");

/// Three servers with keys; "self" is the only busy one.
class KeyBalancerTest : public ::testing::Test {
 protected:
  KeyBalancerTest() {
    for (const std::string name : {"other", "self", "third"}) {
      directory_.update(servingNode(name, kService, kSlots));
    }
    report("other", 100);
    report("third", 900);
    balancer_.setOfferedLoad({12, kSlots, kServiceSeconds});
    for (const OwnedRange& range : table_.ownedBy(kSelf)) {
      for (Key key = range.keys.first; key < range.keys.first + 60; ++key) {
        key_load_.onRequest(key, kStart);
        key_load_.onRequest(key, kNow);
      }
    }
  }

  void report(const std::string& node, std::uint32_t demand_hundredths) {
    ForwardReplyFrame reply;
    reply.load = {0, 0, kSlots};
    reply.load.demand_hundredths = demand_hundredths;
    reply.load.mean_service_ms = 100;
    directory_.onReply(NodeName(node), "route", reply, kNow);
  }

  /// @return whether the step does nothing.
  static bool isEmpty(const BalanceStep& step) { return step.moves.pieces.empty() && !step.merge_ranges; }

  sim::SeededRandom random_{7};
  ServerDirectory directory_{NodeName("self"), ZoneName("zone"), {}, random_};
  OwnershipConfig config_;
  OwnerTable table_ = OwnerTable::divideEvenly({location("other"), location("self"), location("third")}, 2);
  OwnerCandidates candidates_{NodeName("self"), kService, config_, directory_, table_};
  KeyLoad key_load_;
  KeyBalancer balancer_{config_, directory_, candidates_, table_, key_load_};
};

TEST_F(KeyBalancerTest, BusyServerMovesSomeKeysToServersBelowTheAverage) {
  const BalanceStep step = balancer_.nextStep(kSelf, kNow);
  ASSERT_FALSE(step.moves.pieces.empty());
  EXPECT_EQ(step.moves.to, std::vector(step.moves.pieces.size(), location("other")));
  EXPECT_FALSE(step.merge_ranges);
}

TEST_F(KeyBalancerTest, ServerBelowTheAverageKeepsItsKeys) {
  balancer_.setOfferedLoad({1, kSlots, kServiceSeconds});
  EXPECT_TRUE(isEmpty(balancer_.nextStep(kSelf, kNow)));
}

TEST_F(KeyBalancerTest, StepsAreTheBalanceIntervalApart) {
  EXPECT_FALSE(isEmpty(balancer_.nextStep(kSelf, kNow)));
  EXPECT_TRUE(isEmpty(balancer_.nextStep(kSelf, kNow + config_.balance_interval - Duration(1))));
  EXPECT_FALSE(isEmpty(balancer_.nextStep(kSelf, kNow + config_.balance_interval)));
}

TEST_F(KeyBalancerTest, StepAfterMovesWaitsUntilTheLoadHasSettled) {
  balancer_.onMovesDone(kNow);
  EXPECT_TRUE(isEmpty(balancer_.nextStep(kSelf, kNow + config_.balance_settle - Duration(1))));
  EXPECT_FALSE(isEmpty(balancer_.nextStep(kSelf, kNow + config_.balance_settle)));
}

TEST_F(KeyBalancerTest, RecentlyGainedKeysAreNotMoved) {
  std::vector<OwnedRange> owned = table_.ownedBy(kSelf);
  for (OwnedRange& range : owned) {
    range.rate = 30;
  }
  key_load_.recordGains(owned, kNow);
  EXPECT_TRUE(isEmpty(balancer_.nextStep(kSelf, kNow)));
}

TEST_F(KeyBalancerTest, ServerAtWhichManyRequestsFailMovesAllKeysToHealthierServers) {
  balancer_.setFailureRatio(kManyFail);
  const BalanceStep step = balancer_.nextStep(kSelf, kNow);
  EXPECT_EQ(step.moves.to, candidates_.targets(kNow));
  std::uint32_t moved = 0;
  for (const KeyRange& keys : step.moves.pieces) {
    moved += keys.size();
  }
  std::uint32_t owned = 0;
  for (const OwnedRange& range : table_.ownedBy(kSelf)) {
    owned += range.keys.size();
  }
  EXPECT_EQ(moved, owned);
}

TEST_F(KeyBalancerTest, ServerWithTooManyRangesMergesThemBeforeItMovesKeys) {
  const KeyRange keys = table_.ownedBy(kSelf).front().keys;
  for (std::size_t i = 0; i < config_.max_ranges_per_owner; ++i) {
    const Key first = static_cast<Key>(keys.first + 10 * i);
    table_.splitOff({first, static_cast<Key>(first + 9)});
  }
  const BalanceStep step = balancer_.nextStep(kSelf, kNow);
  EXPECT_TRUE(step.merge_ranges);
  EXPECT_TRUE(step.moves.pieces.empty());
}

TEST_F(KeyBalancerTest, NothingIsMovedWithoutAServerToMoveItTo) {
  EXPECT_TRUE(balancer_.moveAll(kSelf, {}, kNow).pieces.empty());
}

}  // namespace
}  // namespace shedlever::test
