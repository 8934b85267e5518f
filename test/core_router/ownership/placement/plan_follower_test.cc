/// @file
/// Which plans an owner follows while planners fail, restart, or are more than one.

#include "source/core/router/ownership/placement/plan_follower.h"

#include <gtest/gtest.h>

#include <vector>

namespace shedlever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
constexpr Duration kSilence = seconds(3);
const InstanceId kSelf("i-self");
const NodeName kPlanner("n-2");

class PlanFollowerTest : public ::testing::Test {
 protected:
  PlanFollowerTest() {
    follower_.setEventCallback([this](const PlacementEvent& event) { steps_.push_back(event.step); });
  }

  static PlacementPlanFrame flows(std::uint64_t plan, const InstanceId& from = kSelf) {
    return {ServiceName("maps"), from, plan, {{InstanceId("i-to"), NodeName("to"), 120}}};
  }
  static PlacementPlanFrame question(std::uint64_t plan) { return {ServiceName("maps"), kSelf, plan, {}}; }

  void receive(const NodeName& sender, const PlacementPlanFrame& plan, TimePoint now) {
    follower_.onPlan(sender, plan, kSelf, kSilence, now);
  }

  PlanFollower follower_;
  std::vector<PlacementStep> steps_;
};

TEST_F(PlanFollowerTest, FlowsAreTakenOnce) {
  receive(kPlanner, flows(1), kNow);
  const auto plan = follower_.takeFlows(kNow + milliseconds(100));
  ASSERT_TRUE(plan.has_value());
  EXPECT_EQ(plan->plan, 1U);
  EXPECT_FALSE(follower_.takeFlows(kNow + milliseconds(200)).has_value());
  EXPECT_TRUE(steps_.empty());
}

TEST_F(PlanFollowerTest, PlannerIsHeardByPlansWithoutFlows) {
  EXPECT_FALSE(follower_.hearsPlanner(kSilence, kNow));
  receive(kPlanner, question(0), kNow);
  EXPECT_TRUE(follower_.hearsPlanner(kSilence, kNow + kSilence));
  EXPECT_FALSE(follower_.hearsPlanner(kSilence, kNow + kSilence + Duration(1)));
  EXPECT_FALSE(follower_.takeFlows(kNow).has_value());
}

TEST_F(PlanFollowerTest, PlanThatArrivesTwiceIsFollowedOnce) {
  receive(kPlanner, flows(4), kNow);
  EXPECT_TRUE(follower_.takeFlows(kNow).has_value());
  receive(kPlanner, flows(4), kNow + milliseconds(10));
  receive(kPlanner, flows(3), kNow + milliseconds(20));
  EXPECT_FALSE(follower_.takeFlows(kNow + milliseconds(30)).has_value());
  EXPECT_EQ(steps_, (std::vector{PlacementStep::Older, PlacementStep::Older}));
}

TEST_F(PlanFollowerTest, PlanForAnEarlierInstanceIsDropped) {
  receive(kPlanner, flows(1, InstanceId("i-earlier")), kNow);
  EXPECT_FALSE(follower_.takeFlows(kNow).has_value());
  EXPECT_EQ(steps_, std::vector{PlacementStep::OtherInstance});
}

TEST_F(PlanFollowerTest, PlanThatCouldNotBeCarriedOutForASecondIsDropped) {
  receive(kPlanner, flows(1), kNow);
  EXPECT_FALSE(follower_.takeFlows(kNow + milliseconds(1001)).has_value());
  EXPECT_EQ(steps_, std::vector{PlacementStep::Late});
}

// Guards against moving the same load twice.
TEST_F(PlanFollowerTest, PlanThatMayNotKnowTheLastMovesIsDropped) {
  follower_.onMovesDone(kNow + seconds(1));
  receive(kPlanner, flows(1), kNow + milliseconds(999));
  EXPECT_EQ(steps_, std::vector{PlacementStep::LoadNotSettled});
  receive(kPlanner, flows(2), kNow + seconds(1));
  EXPECT_TRUE(follower_.takeFlows(kNow + seconds(1)).has_value());
}

TEST_F(PlanFollowerTest, OfTwoPlannersTheLowerNameIsFollowedWhileItIsHeard) {
  receive(kPlanner, flows(5), kNow);
  receive(NodeName("n-3"), flows(9), kNow + milliseconds(10));
  const auto plan = follower_.takeFlows(kNow + milliseconds(20));
  ASSERT_TRUE(plan.has_value());
  EXPECT_EQ(plan->plan, 5U);
  EXPECT_EQ(steps_, std::vector{PlacementStep::OtherPlanner});
  receive(NodeName("n-1"), flows(1), kNow + milliseconds(30));
  EXPECT_TRUE(follower_.takeFlows(kNow + milliseconds(40)).has_value());
  receive(NodeName("n-3"), flows(10), kNow + milliseconds(30) + kSilence + Duration(1));
  EXPECT_TRUE(follower_.takeFlows(kNow + milliseconds(30) + kSilence + Duration(1)).has_value());
}

// Guards against ignoring a planner whose process was restarted and counts its plans from the beginning.
TEST_F(PlanFollowerTest, RestartedPlannerIsFollowedAfterItsSilence) {
  receive(kPlanner, flows(50), kNow);
  EXPECT_TRUE(follower_.takeFlows(kNow).has_value());
  receive(kPlanner, question(0), kNow + seconds(1));
  receive(kPlanner, flows(1), kNow + seconds(2));
  EXPECT_FALSE(follower_.takeFlows(kNow + seconds(2)).has_value());
  receive(kPlanner, flows(2), kNow + kSilence + milliseconds(1));
  EXPECT_TRUE(follower_.takeFlows(kNow + kSilence + milliseconds(1)).has_value());
}

}  // namespace
}  // namespace shedlever
