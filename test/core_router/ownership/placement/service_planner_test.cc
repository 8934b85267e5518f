/// @file
/// Which node plans for a service, whom it asks, and what it sends to whom.

#include "source/core/router/ownership/placement/service_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "source/core/router/ownership/placement/planner_choice.h"
#include "source/lab/sim/virtual_store.h"
#include "test/support/serving_node.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("maps");
constexpr std::uint32_t kSlots = 6;
constexpr TimePoint kStart{seconds(100)};
constexpr Duration kAnswerTime = milliseconds(300);
const NodeName kSelf("n0");

/// Ten servers, seen by the node with the lowest name. "n4" has twice as much load as slots.
class ServicePlannerTest : public ::testing::Test {
 protected:
  ServicePlannerTest() {
    config_.service_plan_from = 10;
    std::vector<OwnerLocation> owners;
    for (int i = 0; i < 10; ++i) {
      NodeRecord record = servingNode(name(i).value, kService, kSlots);
      record.wire_version = kNewestWireVersion;
      directory_.update(record);
      if (i != 0) {
        directory_.onReachable(record.node);
      }
      owners.push_back({record.instance, record.node});
    }
    table_ = OwnerTable::divideEvenly(owners, 1);
    planner_.setOwnLoad({2.4, kSlots, 0.1});
  }

  static NodeName name(int index) { return NodeName("n" + std::to_string(index)); }

  void report(int node, std::uint32_t demand_hundredths, TimePoint now) {
    ForwardReplyFrame reply;
    reply.load.slots = kSlots;
    reply.load.demand_hundredths = demand_hundredths;
    reply.load.mean_service_ms = 100;
    directory_.onReply(name(node), "", reply, now);
  }

  void reportAll(TimePoint now) {
    for (int i = 1; i < 10; ++i) {
      report(i, i == 4 ? 1200 : 240, now);
    }
  }

  /// Asks for loads, has them answered, and plans.
  void planOnce(TimePoint now) {
    planner_.tick(now);
    reportAll(now + milliseconds(10));
    sent_.clear();
    planner_.tick(now + kAnswerTime);
  }

  void setWireVersion(int node, WireVersion version) {
    NodeRecord record = *directory_.node(name(node));
    record.wire_version = version;
    directory_.update(record);
  }

  sim::SeededRandom random_{7};
  ServerDirectory directory_{kSelf, ZoneName("zone"), {}, random_};
  OwnershipConfig config_;
  OwnerTable table_;
  std::vector<std::pair<NodeName, PlacementPlanFrame>> sent_;
  std::vector<PlacementEvent> events_;
  ServicePlanner planner_{kSelf,
                          kService,
                          config_,
                          directory_,
                          table_,
                          {[this](const NodeName& to, const PlacementPlanFrame& plan) { sent_.emplace_back(to, plan); },
                           [this](const PlacementEvent& event) { events_.push_back(event); }}};
};

TEST_F(ServicePlannerTest, AsksAllServersForTheirLoadOnceAnInterval) {
  planner_.tick(kStart);
  ASSERT_EQ(sent_.size(), 10U);
  EXPECT_TRUE(std::all_of(sent_.begin(), sent_.end(), [](const auto& sent) { return sent.second.flows.empty(); }));
  EXPECT_EQ(sent_.front().second.from, InstanceId("i-n0"));
  planner_.tick(kStart + milliseconds(200));
  EXPECT_EQ(sent_.size(), 10U);
  planner_.tick(kStart + kAnswerTime);
  planner_.tick(kStart + config_.service_plan_interval);
  EXPECT_EQ(sent_.size(), 20U);
}

TEST_F(ServicePlannerTest, SendsFlowsToTheOwnerWithTooMuchLoadAlone) {
  planOnce(kStart);
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_.front().first, name(4));
  const PlacementPlanFrame& plan = sent_.front().second;
  EXPECT_EQ(plan.service, kService);
  EXPECT_EQ(plan.from, InstanceId("i-n4"));
  EXPECT_EQ(plan.plan, 1U);
  EXPECT_FALSE(plan.flows.empty());
  ASSERT_EQ(events_.size(), 1U);
  EXPECT_EQ(events_.front().step, PlacementStep::Planned);
  EXPECT_EQ(events_.front().moves, plan.flows.size());
}

// Guards against moving the same load again before it shows in the loads.
TEST_F(ServicePlannerTest, EndsOfAFlowTakeNoPartInPlansUntilTheirLoadsHaveSettled) {
  planOnce(kStart);
  ASSERT_EQ(sent_.size(), 1U);
  planOnce(kStart + seconds(1));
  EXPECT_TRUE(sent_.empty());
  planOnce(kStart + seconds(3));
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_.front().second.plan, 2U);
}

// Guards against an owner of one hot key whose plans, none of which it can carry out, keep the room of the others.
TEST_F(ServicePlannerTest, OwnerWhoseLoadDoesNotChangeByItsFlowsGetsThemMoreAndMoreRarely) {
  std::vector<int> planned_at;
  for (int second = 0; second < 60; ++second) {
    planOnce(kStart + seconds(second));
    if (!sent_.empty()) {
      planned_at.push_back(second);
    }
  }
  ASSERT_GE(planned_at.size(), 5U);
  EXPECT_LE(planned_at.size(), 7U);
  EXPECT_LE(planned_at[1] - planned_at[0], 3);
  EXPECT_GT(planned_at[4] - planned_at[3], 8);
}

TEST_F(ServicePlannerTest, PlansNothingWithoutTheLoadsOfMostServers) {
  planner_.tick(kStart);
  for (const int node : {1, 2, 3, 4, 5}) {
    report(node, node == 4 ? 1200 : 240, kStart);
  }
  sent_.clear();
  planner_.tick(kStart + kAnswerTime);
  EXPECT_TRUE(sent_.empty());
}

TEST_F(ServicePlannerTest, LoadsThatAreTooOldCountAsUnknown) {
  reportAll(kStart);
  planner_.tick(kStart + seconds(5));
  sent_.clear();
  planner_.tick(kStart + seconds(5) + kAnswerTime);
  EXPECT_TRUE(sent_.empty());
}

TEST_F(ServicePlannerTest, OnlyTheReachableNodeWithTheLowestNamePlans) {
  EXPECT_EQ(choosePlanner(kSelf, kService, directory_), kSelf);
  // Without an answer from "n0", another node does not take it for the planner.
  EXPECT_EQ(choosePlanner(name(3), kService, directory_), name(1));
  directory_.markUnreachable(name(1));
  EXPECT_EQ(choosePlanner(name(3), kService, directory_), name(2));
  NodeRecord drained = *directory_.node(kSelf);
  drained.draining = true;
  directory_.update(drained);
  planner_.tick(kStart);
  EXPECT_TRUE(sent_.empty());
}

TEST_F(ServicePlannerTest, EarlierBuildsNeitherPlanNorGetPlansButMayGetKeys) {
  setWireVersion(0, kExtensibleWireVersion);
  planner_.tick(kStart);
  EXPECT_TRUE(sent_.empty());
  setWireVersion(0, kNewestWireVersion);
  setWireVersion(4, kExtensibleWireVersion);
  planOnce(kStart + seconds(1));
  EXPECT_TRUE(sent_.empty());
  setWireVersion(4, kNewestWireVersion);
  for (const int node : {1, 2, 3, 5, 6, 7, 8, 9}) {
    setWireVersion(node, kExtensibleWireVersion);
  }
  planOnce(kStart + seconds(2));
  EXPECT_EQ(sent_.size(), 1U);
}

TEST_F(ServicePlannerTest, SmallServicesAndThoseWithTheSettingOffAreNotPlanned) {
  for (const std::size_t from : {11U, 0U}) {
    config_.service_plan_from = from;
    EXPECT_FALSE(planner_.isActive());
    planner_.tick(kStart + seconds(static_cast<int>(from)));
  }
  EXPECT_TRUE(sent_.empty());
  config_.service_plan_from = 10;
  EXPECT_TRUE(planner_.isActive());
}

TEST_F(ServicePlannerTest, ManyServersAreAskedLessOften) {
  EXPECT_EQ(planInterval(config_, 65), config_.service_plan_interval);
  EXPECT_EQ(planInterval(config_, 500), config_.service_plan_interval * 4);
}

}  // namespace
}  // namespace shedlever::test
