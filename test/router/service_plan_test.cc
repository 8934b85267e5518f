/// @file
/// Which routers of a service plan for its owners, over loopback.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "test/support/http_call.h"
#include "test/support/router_cluster.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

constexpr std::size_t kServers = 3;
constexpr int kMaxTries = 1000;

class ServicePlanRouterTest : public ::testing::Test {
 protected:
  void start(std::size_t plan_from) {
    cluster_.setServicePlanFrom(plan_from);
    for (std::size_t i = 0; i < kServers; ++i) {
      cluster_.addNode("search");
    }
    // Also asked by `runUntilServing`.
    cluster_.addNode("orders");
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  /// @return bytes of plans that the node's router has sent, as it reports them; empty if it has sent none.
  std::string sentBytes(const RouterCluster::Node& node) {
    const std::string metric = "shedlever_peer_sent_bytes_total{frame=\"placement-plan\"} ";
    const auto response =
        httpCall(cluster_.loop(), node.router->readinessEndpoint(), "GET", "/metrics", "", kTestTimeout);
    const std::size_t found = response ? response->body.find(metric) : std::string::npos;
    if (found == std::string::npos) {
      return {};
    }
    const std::size_t value = found + metric.size();
    return response->body.substr(value, response->body.find('\n', value) - value);
  }

  std::map<NodeName, std::string> sentBytesOfAll() {
    std::map<NodeName, std::string> sent;
    for (const auto& node : cluster_.nodes()) {
      sent[node->settings.node] = sentBytes(*node);
    }
    return sent;
  }

  /// Runs until the node has sent further plans. @return false if it has not done so within its tries.
  bool runUntilPlansAreSentBy(const NodeName& node) {
    const std::string before = sentBytesOfAll().at(node);
    for (int i = 0; i < kMaxTries; ++i) {
      cluster_.runFor(std::chrono::milliseconds(20));
      if (sentBytesOfAll().at(node) != before) {
        return true;
      }
    }
    return false;
  }

  NodeName lowestName() {
    const auto lowest = std::min_element(
        cluster_.nodes().begin(), cluster_.nodes().begin() + kServers,
        [](const auto& left, const auto& right) { return left->settings.node < right->settings.node; });
    return (*lowest)->settings.node;
  }

  RouterCluster cluster_;
};

// Guards against plans that no router or several routers send.
TEST_F(ServicePlanRouterTest, RouterWithTheLowestNameAlonePlansOnceAllAreConnected) {
  start(kServers);
  const NodeName planner = lowestName();
  ASSERT_TRUE(runUntilPlansAreSentBy(planner));
  std::map<NodeName, std::string> before = sentBytesOfAll();
  ASSERT_TRUE(runUntilPlansAreSentBy(planner));
  std::map<NodeName, std::string> after = sentBytesOfAll();
  EXPECT_NE(after.at(planner), before.at(planner));
  before.erase(planner);
  after.erase(planner);
  EXPECT_EQ(after, before);
}

TEST_F(ServicePlanRouterTest, RoutersOfASmallServiceSendNoPlans) {
  start(kServers + 1);
  cluster_.runFor(OwnershipConfig{}.service_plan_interval * 2);
  for (const auto& [node, bytes] : sentBytesOfAll()) {
    EXPECT_EQ(bytes, "") << node.value;
  }
}

}  // namespace
}  // namespace shedlever::test
