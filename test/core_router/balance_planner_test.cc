/// @file
/// A busy owner gives a part to one that is less loaded.

#include "source/core/router/balance_planner.h"

#include <gtest/gtest.h>

namespace shedlever {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(10)};

OwnerPlace place(const std::string& name) { return {InstanceId("i-" + name), NodeName(name)}; }

class BalancePlannerTest : public ::testing::Test {
 protected:
  BalancePlannerTest() {
    OwnedRange range;
    range.keys = {1000, 1999};
    view_.owned = {range};
    for (int key = 1000; key < 1200; ++key) {
      meter_.add(static_cast<Key>(key), 1.0, kNow);
    }
    view_.targets = {{place("idle"), 0.1}, {place("some"), 0.3}, {place("busy"), 0.9}};
  }

  KeyMeter meter_{std::chrono::seconds(2)};
  OwnershipConfig config_;
  BalanceView view_;
  BalancePlanner planner_{meter_, config_};
};

TEST_F(BalancePlannerTest, IdleOrEvenOwnersKeepTheirKeys) {
  view_.occupancy = 0.5;
  EXPECT_FALSE(planner_.plan(view_, kNow));
  view_.occupancy = 0.7;
  view_.targets.front().occupancy = 0.6;
  EXPECT_FALSE(planner_.plan(view_, kNow));
  view_.occupancy = 1.2;
  view_.targets.clear();
  EXPECT_FALSE(planner_.plan(view_, kNow));
}

TEST_F(BalancePlannerTest, BusyOwnerGivesAPartToTheLeastLoaded) {
  view_.occupancy = 0.9;
  const auto move = planner_.plan(view_, kNow);
  ASSERT_TRUE(move);
  EXPECT_EQ(move->to, place("idle"));
  const double moved = meter_.sum(move->keys, kNow);
  EXPECT_GT(moved, 40);
  EXPECT_LT(moved, 120);
  view_.other_givers = 4;
  const auto shared = planner_.plan(view_, kNow);
  ASSERT_TRUE(shared);
  EXPECT_LT(meter_.sum(shared->keys, kNow), moved);
}

TEST_F(BalancePlannerTest, OneHotKeyIsNotSplit) {
  meter_.add(5000, 2000, kNow);
  view_.owned.front().keys = {5000, 5000};
  view_.occupancy = 1.2;
  EXPECT_FALSE(planner_.plan(view_, kNow));
}

}  // namespace
}  // namespace shedlever
