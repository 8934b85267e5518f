/// @file
/// A busy owner moves the load above the average to servers below it.

#include "source/core/router/balance_planner.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace shedlever
