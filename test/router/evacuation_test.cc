/// @file
/// A zone whose servers are to get nothing: whole paths, over loopback.

#include <gtest/gtest.h>

#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kTries = 400;

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

  /// Asks for all sorts at all machines. @return how many were served.
  int askAll() {
    int served = 0;
    for (const auto& node : cluster_.nodes()) {
      served += cluster_.ask(*node, "/orders/x").http.status == kOk ? 1 : 0;
      for (const char* key : {"0", "20000", "40000", "65535"}) {
        served += cluster_.ask(*node, "/search/x", key).http.status == kOk ? 1 : 0;
      }
    }
    return served;
  }

  std::size_t begunInNorth() const {
    return cluster_.nodes()[0]->server->begun() + cluster_.nodes()[1]->server->begun();
  }

  /// Asks until nothing of a whole round has reached the north.
  bool runUntilNorthIsLeftAlone() {
    for (int tries = 0; tries < kTries; ++tries) {
      const std::size_t before = begunInNorth();
      const int served = askAll();
      if (begunInNorth() == before && served == kAll) {
        return true;
      }
      cluster_.pause(milliseconds(20));
    }
    return false;
  }

  static constexpr int kAll = 20;

  mutable RouterCluster cluster_{GetParam()};
};

TEST_P(EvacuationTest, OtherZonesServeAllAndTheZoneGetsNothing) {
  cluster_.evacuate("north", true);
  ASSERT_TRUE(runUntilNorthIsLeftAlone());
  const std::size_t before = begunInNorth();
  EXPECT_EQ(askAll(), kAll);
  EXPECT_EQ(begunInNorth(), before);
}

TEST_P(EvacuationTest, WithdrawnTheZoneServesAgain) {
  cluster_.evacuate("north", true);
  ASSERT_TRUE(runUntilNorthIsLeftAlone());
  const std::size_t before = begunInNorth();
  cluster_.evacuate("north", false);
  for (int tries = 0; tries < kTries && begunInNorth() == before; ++tries) {
    askAll();
  }
  EXPECT_GT(begunInNorth(), before);
}

TEST_P(EvacuationTest, RouterThatStartsMeanwhileSendsNothingThere) {
  cluster_.evacuate("north", true);
  ASSERT_TRUE(runUntilNorthIsLeftAlone());
  const std::size_t before = begunInNorth();
  for (const auto& node : cluster_.nodes()) {
    cluster_.restartRouter(*node);
  }
  ASSERT_TRUE(cluster_.runUntilServing());
  EXPECT_EQ(begunInNorth(), before);
}

// Its process was away when the wish came: its server still holds keys, and gets nothing all the same.
TEST_P(EvacuationTest, RouterThatWasAwayBeginsNothingForKeysThatItsServerHolds) {
  cluster_.evacuate("north", true);
  cluster_.restartRouter(*cluster_.nodes()[0]);
  const std::size_t before = cluster_.nodes()[0]->server->begun();
  ASSERT_TRUE(runUntilNorthIsLeftAlone());
  EXPECT_EQ(cluster_.nodes()[0]->server->begun(), before);
}

// The whole service lies in zones that are to get nothing.
TEST_P(EvacuationTest, OfAllZonesRequestsAreRefused) {
  cluster_.evacuate("north", true);
  cluster_.evacuate("south", true);
  int served = kAll;
  for (int tries = 0; tries < kTries && served > 0; ++tries) {
    served = askAll();
    cluster_.pause(milliseconds(20));
  }
  EXPECT_EQ(served, 0);
  EXPECT_EQ(cluster_.ask(*cluster_.nodes()[0], "/orders/x").http.status, kUnavailable);
  EXPECT_EQ(cluster_.ask(*cluster_.nodes()[0], "/search/x", "7").http.status, kUnavailable);
}

INSTANTIATE_TEST_SUITE_P(BothForms, EvacuationTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat));

}  // namespace
}  // namespace shedlever::test
