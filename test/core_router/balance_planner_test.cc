/// @file
/// A busy owner gives away what it has above the average, to those below it.

#include "source/core/router/balance_planner.h"

#include <gtest/gtest.h>

namespace shedlever {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr double kSlots = 10;
constexpr double kServiceSeconds = 0.1;

OwnerLocation place(const std::string& name) { return {InstanceId("i-" + name), NodeName(name)}; }

OfferedLoad work(double demand) { return {demand, kSlots, kServiceSeconds}; }

class BalancePlannerTest : public ::testing::Test {
 protected:
  BalancePlannerTest() {
    // 120 requests a second, which keep 12 slots busy.
    meter_.add(1000, 1e-9, kNow - std::chrono::seconds(60));
    for (Key key = 1000; key < 1200; ++key) {
      meter_.add(key, 120.0 / 200 * meter_.windowSeconds(kNow), kNow);
    }
    OwnedRange range;
    range.keys = {1000, 1999};
    view_.owned = {range};
    view_.own_load = work(12);
    view_.targets = {{place("idle"), work(1)}, {place("some"), work(5)}, {place("busy"), work(10)}};
  }

  double ratesTo(const std::vector<PlannedMove>& moves, const std::string& name) const {
    double rate = 0;
    for (const PlannedMove& move : moves) {
      rate += move.to == place(name) ? meter_.rate(move.keys, kNow) : 0;
    }
    return rate;
  }

  KeyMeter meter_{std::chrono::seconds(2)};
  OwnershipConfig config_;
  BalanceInput view_;
  BalancePlanner planner_{meter_, config_};
};

TEST_F(BalancePlannerTest, IdleOrEvenOwnersKeepTheirKeys) {
  view_.own_load = work(5);
  EXPECT_TRUE(planner_.plan(view_, kNow).empty());
  view_.own_load = work(12);
  view_.targets = {{place("alike"), work(11)}};
  EXPECT_TRUE(planner_.plan(view_, kNow).empty());
  view_.targets.clear();
  EXPECT_TRUE(planner_.plan(view_, kNow).empty());
}

TEST_F(BalancePlannerTest, EachServerBelowTheAverageTakesItsPart) {
  // The average is 7; the owner has 5 above it, another 3; 6 and 2 are free below it.
  const auto moves = planner_.plan(view_, kNow);
  EXPECT_NEAR(ratesTo(moves, "idle"), 37, 8);
  EXPECT_NEAR(ratesTo(moves, "some"), 12, 5);
  EXPECT_EQ(ratesTo(moves, "busy"), 0);
}

TEST_F(BalancePlannerTest, OwnersTogetherGiveNoMoreThanThereIsRoomFor) {
  view_.targets = {{place("idle"), work(0)}, {place("second"), work(12)}, {place("third"), work(12)}};
  // The average is 9, and each of three owners gives a third of it.
  EXPECT_NEAR(ratesTo(planner_.plan(view_, kNow), "idle"), 30, 8);
}

TEST_F(BalancePlannerTest, SlowServersAreGivenLess) {
  view_.targets = {{place("slow"), {1, kSlots, 4 * kServiceSeconds}}};
  const double to_slow = ratesTo(planner_.plan(view_, kNow), "slow");
  view_.targets = {{place("like"), work(1)}};
  EXPECT_LT(to_slow, ratesTo(planner_.plan(view_, kNow), "like") / 2);
}

TEST_F(BalancePlannerTest, WholeRangesAreGivenWhereTheyFit) {
  OwnedRange small;
  small.keys = {1000, 1079};
  OwnedRange rest;
  rest.keys = {1080, 1999};
  view_.owned = {small, rest};
  view_.targets = {{place("idle"), work(2)}};
  const auto moves = planner_.plan(view_, kNow);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves.front().keys, small.keys);
}

TEST_F(BalancePlannerTest, OneHotKeyIsNotSplit) {
  OwnedRange hot;
  hot.keys = {5000, 5000};
  meter_.add(5000, 120 * meter_.windowSeconds(kNow), kNow);
  view_.owned = {hot};
  EXPECT_TRUE(planner_.plan(view_, kNow).empty());
}

}  // namespace
}  // namespace shedlever
