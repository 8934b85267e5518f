/// @file
/// Guards against a request that crashes every server that runs it, when clients repeat it at several nodes: it must be
/// quarantined after three crashes. Up to three more servers may receive it until all processes know of the quarantine.

#include <gtest/gtest.h>

#include "source/net/http_headers.h"
#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr std::size_t kMaxStarts = 6;
constexpr std::size_t kRepeats = 14;

class FatalRequestTest : public ::testing::Test {
 protected:
  void start(const std::string& fatal_path,
             const std::vector<std::string>& services = {"search", "search", "orders", "orders"}) {
    fatal_path_ = fatal_path;
    cluster_.setFatalPath(fatal_path);
    for (const std::string& service : services) {
      cluster_.addNode(service);
    }
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  RouterCluster::Node& node(std::size_t index) { return *cluster_.nodes()[index]; }

  /// Sends the request repeatedly, at each node in turn, each time after all servers have restarted.
  void repeat(std::size_t times) {
    for (std::size_t i = 0; i < times; ++i) {
      last_ = cluster_.sendAndWait(node(i % cluster_.nodes().size()), fatal_path_, "7");
      ASSERT_TRUE(cluster_.runUntilServing());
    }
  }

  /// Repeats the request until it reaches no more servers. @return how often it was started.
  std::size_t repeatUntilQuarantined() {
    std::size_t started = 0;
    do {
      started = cluster_.fatalRequestsStarted();
      repeat(cluster_.nodes().size());
    } while (cluster_.fatalRequestsStarted() > started);
    return started;
  }

  std::string fatal_path_;
  RouterCluster cluster_;
  ClientResponse last_;
};

TEST_F(FatalRequestTest, RequestWithAKeyReachesFewServers) {
  start("/search/fatal");
  repeat(kRepeats);
  EXPECT_GE(cluster_.serverCrashes(), 2U);
  EXPECT_LE(cluster_.fatalRequestsStarted(), kMaxStarts);
}

TEST_F(FatalRequestTest, RequestWithoutAKeyReachesFewServers) {
  start("/orders/fatal");
  repeat(kRepeats);
  EXPECT_GE(cluster_.serverCrashes(), 2U);
  EXPECT_LE(cluster_.fatalRequestsStarted(), kMaxStarts);
}

// The fingerprint must not depend on the service of the node at which the request arrives; otherwise each service would
// need three crashes of its own.
TEST_F(FatalRequestTest, RequestArrivingAtNodesOfFourServicesCrashesAtMostThreeServers) {
  start("/search/fatal", {"search", "search", "search", "orders", "maps", "checks"});
  repeat(3 * cluster_.nodes().size());
  EXPECT_GE(cluster_.serverCrashes(), 2U);
  EXPECT_LE(cluster_.fatalRequestsStarted(), 3U);
}

TEST_F(FatalRequestTest, QuarantinedRequestIsRefusedWithRetryAfter) {
  start("/search/fatal");
  repeatUntilQuarantined();
  EXPECT_EQ(last_.response.status, kUnavailable);
  const std::string retry_after(headerValue(last_.response.headers, "Retry-After"));
  ASSERT_FALSE(retry_after.empty());
  EXPECT_GT(std::stod(retry_after), 60.0);
}

TEST_F(FatalRequestTest, OtherRequestsAreStillServed) {
  start("/search/fatal");
  repeatUntilQuarantined();
  EXPECT_EQ(cluster_.sendAndWait(node(0), "/search/fatal2", "7").response.status, kOk);
}

TEST_F(FatalRequestTest, QuarantineIsKnownToARestartedRouter) {
  start("/search/fatal");
  const std::size_t started = repeatUntilQuarantined();
  cluster_.restartRouter(node(1));
  ASSERT_TRUE(cluster_.runUntilServing());
  for (int i = 0; i < 4; ++i) {
    cluster_.sendAndWait(node(1), fatal_path_, "7");
  }
  EXPECT_EQ(cluster_.fatalRequestsStarted(), started);
}

// Node records survive the failure of all processes.
TEST_F(FatalRequestTest, QuarantineSurvivesSimultaneousRestartOfAllRouters) {
  start("/search/fatal");
  const std::size_t started = repeatUntilQuarantined();
  for (const auto& node : cluster_.nodes()) {
    cluster_.restartRouter(*node);
  }
  ASSERT_TRUE(cluster_.runUntilServing());
  repeat(4);
  EXPECT_EQ(cluster_.fatalRequestsStarted(), started);
}

}  // namespace
}  // namespace shedlever::test
