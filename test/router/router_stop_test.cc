/// @file
/// End-to-end tests of requests whose router stops and exits before their servers have responded.

#include <gtest/gtest.h>

#include "source/net/http_headers.h"
#include "test/support/http_call.h"
#include "test/support/router_cluster.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

class RouterStopTest : public ::testing::Test {
 protected:
  RouterCluster::Node& node(std::size_t index) { return *cluster_.nodes()[index]; }

  /// Stops the node's router and destroys it once it may exit, which closes its connections.
  void stopAndExit(RouterCluster::Node& node) {
    node.router->stop([&node] { node.stopped = true; });
    ASSERT_TRUE(cluster_.runUntil([&node] { return node.stopped; }));
    node.router.reset();
  }

  RouterCluster cluster_;
};

// The exit must not close the connection of a request that still waits, for example for an owner of its key.
TEST_F(RouterStopTest, RequestThatWaitsUntilRouterExitsIsRefusedAsNotRun) {
  cluster_.setStopGrace(milliseconds(2400));
  cluster_.addNode("orders");
  ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.sendAndWait(node(0), "/orders/x").response.status == kOk; }));
  // No server can own the key.
  const auto answer = cluster_.send(node(0), "/search/x", "7");
  stopAndExit(node(0));
  ASSERT_TRUE(cluster_.runUntil([&] { return answer->completed; }));
  EXPECT_EQ(answer->status, HttpExchangeStatus::Complete);
  EXPECT_EQ(answer->response.status, kServiceUnavailable);
  EXPECT_FALSE(headerValue(answer->response.headers, "Retry-After").empty());
}

// The exit must not close the connection of a request that another node's server still runs.
TEST_F(RouterStopTest, RequestThatRunsElsewhereUntilRouterExitsGetsCompleteResponse) {
  cluster_.setStopGrace(milliseconds(2400));
  cluster_.addNode("search");
  cluster_.addNode("orders");
  ASSERT_TRUE(cluster_.runUntilServing());
  const auto slowed =
      httpCall(cluster_.loop(), node(1).server->endpoint(), "POST", "/faults", R"({"slow":4000})", kTestTimeout);
  ASSERT_TRUE(slowed.has_value());
  const auto answer = cluster_.send(node(0), "/orders/x");
  ASSERT_TRUE(cluster_.runUntil([&] { return node(1).server->runningRequests() == 1; }));
  stopAndExit(node(0));
  ASSERT_TRUE(cluster_.runUntil([&] { return answer->completed; }));
  EXPECT_EQ(answer->status, HttpExchangeStatus::Complete);
  EXPECT_EQ(answer->response.status, kGatewayTimeout);
}

}  // namespace
}  // namespace shedlever::test
