/// @file
/// A busy owner moves the load above the average to servers below it.

#include "source/core/router/ownership/balance_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace shedlever {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr double kSlots = 10;
constexpr double kServiceSeconds = 0.1;

OwnerLocation location(const std::string& name) { return {InstanceId("i-" + name), NodeName(name)}; }

OfferedLoad load(double demand) { return {demand, kSlots, kServiceSeconds}; }

class BalancePlannerTest : public ::testing::Test {
 protected:
  BalancePlannerTest() {
    // 120 requests per second, which occupy 12 slots.
    meter_.add(1000, 1e-9, kNow - std::chrono::seconds(60));
    for (Key key = 1000; key < 1200; ++key) {
      meter_.add(key, 120.0 / 200 * meter_.windowSeconds(kNow), kNow);
    }
    OwnedRange range;
    range.keys = {1000, 1999};
    input_.owned = {range};
    input_.own_load = load(12);
    input_.targets = {{location("idle"), load(1)}, {location("some"), load(5)}, {location("busy"), load(10)}};
  }

  double ratesTo(const std::vector<PlannedMove>& moves, const std::string& name) const {
    double rate = 0;
    for (const PlannedMove& move : moves) {
      rate += move.to == location(name) ? meter_.rate(move.keys, kNow) : 0;
    }
    return rate;
  }

  KeyMeter meter_{std::chrono::seconds(2)};
  OwnershipConfig config_;
  BalanceInput input_;
  BalancePlanner planner_{meter_, config_};
};

TEST_F(BalancePlannerTest, OwnersThatAreNotBusyOrNotAboveTheAverageKeepTheirKeys) {
  input_.own_load = load(5);
  EXPECT_TRUE(planner_.plan(input_, kNow).empty());
  input_.own_load = load(12);
  input_.targets = {{location("alike"), load(11)}};
  EXPECT_TRUE(planner_.plan(input_, kNow).empty());
  input_.targets.clear();
  EXPECT_TRUE(planner_.plan(input_, kNow).empty());
}

TEST_F(BalancePlannerTest, EachServerBelowTheAverageGetsItsShare) {
  // The average is 7. This owner is 5 above it and another one 3; the others are 6 and 2 below it.
  const auto moves = planner_.plan(input_, kNow);
  EXPECT_NEAR(ratesTo(moves, "idle"), 37, 8);
  EXPECT_NEAR(ratesTo(moves, "some"), 12, 5);
  EXPECT_EQ(ratesTo(moves, "busy"), 0);
}

TEST_F(BalancePlannerTest, OwnersTogetherMoveNoMoreThanTheAvailableCapacity) {
  input_.targets = {{location("idle"), load(0)}, {location("second"), load(12)}, {location("third"), load(12)}};
  // The average is 9; each of the three owners moves a third of it.
  EXPECT_NEAR(ratesTo(planner_.plan(input_, kNow), "idle"), 30, 8);
}

TEST_F(BalancePlannerTest, SlowServersGetLessLoad) {
  input_.targets = {{location("slow"), {1, kSlots, 4 * kServiceSeconds}}};
  const double to_slow = ratesTo(planner_.plan(input_, kNow), "slow");
  input_.targets = {{location("like"), load(1)}};
  EXPECT_LT(to_slow, ratesTo(planner_.plan(input_, kNow), "like") / 2);
}

TEST_F(BalancePlannerTest, WholeRangeIsMovedIfItFits) {
  OwnedRange small;
  small.keys = {1000, 1079};
  OwnedRange rest;
  rest.keys = {1080, 1999};
  input_.owned = {small, rest};
  input_.targets = {{location("idle"), load(2)}};
  const auto moves = planner_.plan(input_, kNow);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves.front().keys, small.keys);
}

TEST_F(BalancePlannerTest, OneHotKeyIsNotSplit) {
  OwnedRange hot;
  hot.keys = {5000, 5000};
  meter_.add(5000, 120 * meter_.windowSeconds(kNow), kNow);
  input_.owned = {hot};
  EXPECT_TRUE(planner_.plan(input_, kNow).empty());
}

// Guards against many moves for the sake of a few frequently requested keys, each of which costs two writes of the
// table.
TEST_F(BalancePlannerTest, FullOwnerOfFewKeysMovesNothingForTooSmallShares) {
  input_.own_load = load(12);
  input_.owned.front().keys = {1000, 1199};
  for (const double others : {9.9, 5.0, 0.0}) {
    input_.targets.assign(60, {location("other"), load(others)});
    EXPECT_TRUE(planner_.plan(input_, kNow).empty()) << others;
  }
}

/// Servers of one service, the first of which owns all keys and gets all requests.
class FullOwnerAmongIdleServers {
 public:
  explicit FullOwnerAmongIdleServers(std::size_t idle_servers, double requests_per_second) : owned_(idle_servers + 1) {
    const double rate = requests_per_second / kKeys;
    meter_.add(0, 1e-9, kNow - std::chrono::seconds(60));
    for (Key key = 0; key < kKeys; ++key) {
      meter_.add(key, rate * meter_.windowSeconds(kNow), kNow);
    }
    owned_[0].push_back({{0, kKeys - 1}, InstanceId("i"), NodeName("n"), 1, {}, false, 0});
  }

  /// Every server carries out one plan, one after the other, each knowing the present load of all.
  void balanceOnce() {
    for (std::size_t owner = 0; owner < owned_.size(); ++owner) {
      BalanceInput input;
      input.owned = owned_[owner];
      input.own_load = loadOf(owner);
      input.rotation = owner;
      for (std::size_t other = 0; other < owned_.size(); ++other) {
        if (other != owner) {
          input.targets.push_back({location(std::to_string(other)), loadOf(other)});
        }
      }
      for (const PlannedMove& move : planner_.plan(input, kNow)) {
        carryOut(owner, move);
      }
    }
  }

  double highestUtilization() const {
    double highest = 0;
    for (std::size_t server = 0; server < owned_.size(); ++server) {
      highest = std::max(highest, loadOf(server).utilization());
    }
    return highest;
  }

 private:
  static constexpr Key kKeys = 20000;

  OfferedLoad loadOf(std::size_t server) const {
    double rate = 0;
    for (const OwnedRange& range : owned_[server]) {
      rate += meter_.rate(range.keys, kNow);
    }
    return load(rate * kServiceSeconds);
  }

  void carryOut(std::size_t from, const PlannedMove& move) {
    const auto source = std::find_if(owned_[from].begin(), owned_[from].end(),
                                     [&](const OwnedRange& range) { return range.keys.contains(move.keys.first); });
    ASSERT_NE(source, owned_[from].end());
    OwnedRange moved = *source;
    moved.keys = move.keys;
    if (source->keys == move.keys) {
      owned_[from].erase(source);
    } else if (source->keys.first == move.keys.first) {
      source->keys.first = static_cast<Key>(move.keys.last + 1);
    } else {
      source->keys.last = static_cast<Key>(move.keys.first - 1);
    }
    owned_[std::stoul(move.to.node.value)].push_back(moved);
  }

  KeyMeter meter_{std::chrono::seconds(2)};
  OwnershipConfig config_;
  BalancePlanner planner_{meter_, config_};
  std::vector<std::vector<OwnedRange>> owned_;
};

// Guards against a full owner moving only a few ranges at a time, so that in a large fleet most servers stay idle.
TEST(BalancePlannerScaleTest, FullOwnerReachesAllServersInAFewPlansHoweverManyThereAre) {
  for (const std::size_t servers : {5U, 50U, 500U, 1000U}) {
    // Half of the slots of all servers.
    FullOwnerAmongIdleServers cluster(servers, 0.5 * kSlots / kServiceSeconds * static_cast<double>(servers));
    for (int plan = 0; plan < 3; ++plan) {
      cluster.balanceOnce();
    }
    EXPECT_LT(cluster.highestUtilization(), 0.9) << servers;
  }
}

// Guards against no server getting anything because each one's share of the excess is too small.
TEST(BalancePlannerScaleTest, OwnerAmongVeryManyServersGivesLargerPartsToSome) {
  for (const std::size_t servers : {50U, 500U, 1000U}) {
    FullOwnerAmongIdleServers cluster(servers, 1.5 * kSlots / kServiceSeconds);
    for (int plan = 0; plan < 3; ++plan) {
      cluster.balanceOnce();
    }
    EXPECT_LT(cluster.highestUtilization(), 0.9) << servers;
  }
}

}  // namespace
}  // namespace shedlever
