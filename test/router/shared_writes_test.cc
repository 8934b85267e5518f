/// @file
/// One router writes the owner table for the others, over loopback.

#include <gtest/gtest.h>

#include "test/support/http_call.h"
#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

constexpr int kTries = 100;
/// The first node by name writes for all.
constexpr std::size_t kWriter = 0;

class SharedWritesClusterTest : public ::testing::TestWithParam<GrantDelivery> {
 protected:
  void SetUp() override {
    cluster_.setSharedWritesFrom(2);
    for (int i = 0; i < 3; ++i) {
      cluster_.addNode("search");
    }
    cluster_.addNode("orders");
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  RouterCluster::Node& node(std::size_t index) { return *cluster_.nodes()[index]; }

  /// @return whether the router's metrics show the event.
  bool hasEvent(std::size_t index, const std::string& event) {
    const auto answer = httpCall(cluster_.loop(), node(index).router->readinessEndpoint(), "GET", "/metrics", "",
                                 std::chrono::seconds(5));
    const std::string line = "shedlever_events_total{event=\"" + event + "\"}";
    return answer && answer->body.find(line) != std::string::npos;
  }

  /// Restarts the node's server, whose keys the new instance has to reclaim.
  bool reclaimsAfterARestart(std::size_t index) {
    cluster_.restartServer(node(index));
    for (int tries = 0; tries < kTries && node(index).server->startedRequests() == 0; ++tries) {
      for (const char* key : {"0", "9000", "20000", "30000", "40000", "50000", "65535"}) {
        cluster_.sendAndWait(node(index), "/search/x", key);
      }
      cluster_.runFor(std::chrono::milliseconds(20));
    }
    return cluster_.runUntilServing();
  }

  RouterCluster cluster_{GetParam()};
};

TEST_P(SharedWritesClusterTest, OwnersReclaimTheirKeysThroughTheRouterThatWrites) {
  EXPECT_TRUE(reclaimsAfterARestart(2));
  EXPECT_TRUE(hasEvent(kWriter, "shared-write-batch"));
  EXPECT_FALSE(hasEvent(2, "shared-write-fallback"));
}

// Guards against owners that depend on the router that writes.
TEST_P(SharedWritesClusterTest, OwnersReclaimTheirKeysWithoutTheRouterThatWrites) {
  node(kWriter).client.reset();
  node(kWriter).router.reset();
  cluster_.restartServer(node(2));
  cluster_.runFor(std::chrono::milliseconds(1500));
  cluster_.restartRouter(node(kWriter));
  EXPECT_TRUE(cluster_.runUntilServing());
}

INSTANTIATE_TEST_SUITE_P(Grants, SharedWritesClusterTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat));

}  // namespace
}  // namespace shedlever::test
