/// @file
/// 65 owners of 0.6 to 1.6 times the usual speed, under loads that each owner for itself does not even out: each one's
/// share of an excess is too small to be moved.

#include "test/core_router/ownership/placement/placement_cluster.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::seconds;

constexpr std::size_t kServers = 65;
constexpr double kUtilization = 0.4;
constexpr Key kHotKey = 33333;
/// Exponents by which the request rates of keys fall with their rank.
constexpr double kSkewed = 0.85;
constexpr double kSlightlySkewed = 0.5;

OwnershipConfig eachForItself() {
  OwnershipConfig config;
  config.service_plan_from = 0;
  return config;
}

PlacementCluster skewedCluster(const OwnershipConfig& config) { return PlacementCluster(kServers, 0, config); }

// Guards against owners that refuse requests from the first to the last second while most servers have room.
TEST(PlacementClusterTest, SkewedKeysAtTwoFifthsOfAllSlotsAreServedAfterAFewPlansAndThenStay) {
  PlacementCluster cluster = skewedCluster({});
  cluster.setSkewedKeys(kSkewed, kUtilization * cluster.capacity());
  EXPECT_GT(cluster.refusedShare(), 0.01);
  cluster.run(seconds(8));
  EXPECT_EQ(cluster.refusedShare(), 0);
  EXPECT_LE(cluster.takeMoves(), kServers);
  cluster.run(seconds(12));
  EXPECT_EQ(cluster.refusedShare(), 0);
  // Of 650 loads, one is three standard deviations above its mean.
  cluster.takeMoves();
  cluster.run(seconds(10));
  EXPECT_LE(cluster.takeMoves(), 3U);
}

// Guards against a first division by count that stands until the loads of all servers have been averaged for long.
TEST(PlacementClusterTest, FirstPlanCorrectsTheDivisionInTheFirstSecondOfTraffic) {
  PlacementCluster cluster = skewedCluster({});
  cluster.setSkewedKeys(kSkewed, kUtilization * cluster.capacity());
  cluster.run(seconds(1));
  EXPECT_EQ(cluster.plansBy(0), 1U);
  EXPECT_GT(cluster.takeMoves(), 0U);
}

TEST(PlacementClusterTest, EachOwnerForItselfLeavesSkewedKeysWhereTheyAre) {
  PlacementCluster cluster = skewedCluster(eachForItself());
  cluster.setSkewedKeys(kSkewed, kUtilization * cluster.capacity());
  cluster.run(seconds(8));
  EXPECT_GT(cluster.refusedShare(), 0.01);
  EXPECT_EQ(cluster.plansBy(0), 0U);
}

// Guards against requests for other keys that are refused beside those for a hot key.
TEST(PlacementClusterTest, OwnerOfAKeyWithAThirdOfAllRequestsGivesItsOtherKeysAway) {
  PlacementCluster cluster = skewedCluster({});
  cluster.setSkewedKeys(kSlightlySkewed, kUtilization * cluster.capacity());
  cluster.setHotKey(kHotKey, 1.0 / 3);
  cluster.run(seconds(8));
  const std::size_t owner = cluster.ownerOf(kHotKey);
  const double others = cluster.demand(owner) - cluster.demandOfKey(kHotKey);
  EXPECT_LT(others, 0.05 * PlacementCluster::kSlots);
}

TEST(PlacementClusterTest, ServersThatTurnThreeTimesAsSlowRefuseNothingAfterFiveSeconds) {
  PlacementCluster cluster = skewedCluster({});
  cluster.setSkewedKeys(kSlightlySkewed, kUtilization * cluster.capacity());
  cluster.run(seconds(10));
  for (const std::size_t slow : {2U, 20U, 41U, 64U}) {
    cluster.setSpeed(slow, 0.3);
  }
  EXPECT_GT(cluster.refusedShare(), 0.01);
  cluster.run(seconds(5));
  EXPECT_EQ(cluster.refusedShare(), 0);
}

TEST(PlacementClusterTest, AddedServersTakeTheLoadThatTheOthersCannotServe) {
  PlacementCluster cluster(50, 15, {});
  cluster.setSkewedKeys(kSlightlySkewed, 0.6 * cluster.capacity());
  EXPECT_GT(cluster.refusedShare(), 0.04);
  cluster.run(seconds(8));
  EXPECT_EQ(cluster.refusedShare(), 0);
  for (std::size_t added = 50; added < kServers; ++added) {
    EXPECT_GT(cluster.demand(added), 0) << added;
  }
}

// Guards against a service whose balance depends on one process.
TEST(PlacementClusterTest, NextNodePlansWhenThePlannerStops) {
  PlacementCluster cluster = skewedCluster({});
  cluster.setSkewedKeys(kSkewed, kUtilization * cluster.capacity());
  cluster.run(seconds(1));
  EXPECT_GT(cluster.plansBy(0), 0U);
  EXPECT_EQ(cluster.plansBy(1), 0U);
  cluster.stopProcess(0);
  cluster.run(seconds(12));
  EXPECT_GT(cluster.plansBy(1), 0U);
  EXPECT_EQ(cluster.plansBy(2), 0U);
  EXPECT_EQ(cluster.refusedShare(), 0);
}

TEST(PlacementClusterTest, OwnersPlanForThemselvesWhileNoPlanReachesThem) {
  PlacementCluster cluster(50, 15, {});
  cluster.setSkewedKeys(kSlightlySkewed, 0.6 * cluster.capacity());
  const double before = cluster.refusedShare();
  cluster.losePlans();
  cluster.run(seconds(8));
  EXPECT_GT(cluster.takeMoves(), 0U);
  EXPECT_LT(cluster.refusedShare(), before);
}

}  // namespace
}  // namespace shedlever::test
