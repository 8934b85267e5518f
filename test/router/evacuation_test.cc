/// @file
/// End-to-end tests of zone evacuation over loopback.

#include <gtest/gtest.h>

#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kMaxRounds = 400;

class EvacuationTest : public ::testing::TestWithParam<GrantDelivery> {
 protected:
  void SetUp() override {
    for (const char* zone : {"north", "south"}) {
      cluster_.setZone(zone);
      cluster_.addNode("search");
      cluster_.addNode("orders");
    }
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  /// Sends requests with and without keys to all nodes.
  /// @return number of requests that were served.
  int sendToAllNodes() {
    int served = 0;
    for (const auto& node : cluster_.nodes()) {
      served += cluster_.sendAndWait(*node, "/orders/x").response.status == kOk ? 1 : 0;
      for (const char* key : {"0", "20000", "40000", "65535"}) {
        served += cluster_.sendAndWait(*node, "/search/x", key).response.status == kOk ? 1 : 0;
      }
    }
    return served;
  }

  std::size_t startedInNorth() const {
    return cluster_.nodes()[0]->server->startedRequests() + cluster_.nodes()[1]->server->startedRequests();
  }

  /// Sends requests until a complete round is served without a request started in the zone "north".
  bool runUntilNorthIsIdle() {
    for (int round = 0; round < kMaxRounds; ++round) {
      const std::size_t before = startedInNorth();
      const int served = sendToAllNodes();
      if (startedInNorth() == before && served == kRequestsPerRound) {
        return true;
      }
      cluster_.runFor(milliseconds(20));
    }
    return false;
  }

  static constexpr int kRequestsPerRound = 20;

  mutable RouterCluster cluster_{GetParam()};
};

TEST_P(EvacuationTest, EvacuatedZoneGetsNoRequestsAndOtherZonesServeAll) {
  cluster_.evacuate("north", true);
  ASSERT_TRUE(runUntilNorthIsIdle());
  const std::size_t before = startedInNorth();
  EXPECT_EQ(sendToAllNodes(), kRequestsPerRound);
  EXPECT_EQ(startedInNorth(), before);
}

TEST_P(EvacuationTest, ZoneServesAgainAfterEvacuationEnds) {
  cluster_.evacuate("north", true);
  ASSERT_TRUE(runUntilNorthIsIdle());
  const std::size_t before = startedInNorth();
  cluster_.evacuate("north", false);
  for (int round = 0; round < kMaxRounds && startedInNorth() == before; ++round) {
    sendToAllNodes();
  }
  EXPECT_GT(startedInNorth(), before);
}

TEST_P(EvacuationTest, RouterStartedDuringEvacuationSendsNothingToTheZone) {
  cluster_.evacuate("north", true);
  ASSERT_TRUE(runUntilNorthIsIdle());
  const std::size_t before = startedInNorth();
  for (const auto& node : cluster_.nodes()) {
    cluster_.restartRouter(*node);
  }
  ASSERT_TRUE(cluster_.runUntilServing());
  EXPECT_EQ(startedInNorth(), before);
}

// The router restarts before it knows of the evacuation, while its server still holds keys.
TEST_P(EvacuationTest, RestartedRouterStartsNoRequestsForKeysHeldByItsEvacuatedServer) {
  cluster_.evacuate("north", true);
  cluster_.restartRouter(*cluster_.nodes()[0]);
  const std::size_t before = cluster_.nodes()[0]->server->startedRequests();
  ASSERT_TRUE(runUntilNorthIsIdle());
  EXPECT_EQ(cluster_.nodes()[0]->server->startedRequests(), before);
}

TEST_P(EvacuationTest, RequestsAreRejectedWhileAllZonesAreEvacuated) {
  cluster_.evacuate("north", true);
  cluster_.evacuate("south", true);
  int served = kRequestsPerRound;
  for (int round = 0; round < kMaxRounds && served > 0; ++round) {
    served = sendToAllNodes();
    cluster_.runFor(milliseconds(20));
  }
  EXPECT_EQ(served, 0);
  EXPECT_EQ(cluster_.sendAndWait(*cluster_.nodes()[0], "/orders/x").response.status, kUnavailable);
  EXPECT_EQ(cluster_.sendAndWait(*cluster_.nodes()[0], "/search/x", "7").response.status, kUnavailable);
}

INSTANTIATE_TEST_SUITE_P(GrantForms, EvacuationTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat));

}  // namespace
}  // namespace shedlever::test
