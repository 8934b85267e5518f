/// @file
/// Servers that restart under the same server id. The start time distinguishes the instances: a new instance holds no
/// keys, and its report sequence starts again.

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "source/core/settings/endpoint_text.h"
#include "test/support/http_call.h"
#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

constexpr int kOk = 200;
constexpr int kTries = 100;

class RestartedServerTest : public ::testing::TestWithParam<GrantDelivery> {
 protected:
  void SetUp() override {
    cluster_.setKeepServerIds(true);
    for (const char* service : {"search", "search", "orders"}) {
      cluster_.addNode(service);
    }
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  RouterCluster::Node& node(std::size_t index) { return *cluster_.nodes()[index]; }

  /// @return whether requests reach the new instance of the server.
  bool servesAgain(std::size_t index, const std::string& target) {
    for (int tries = 0; tries < kTries && node(index).server->startedRequests() == 0; ++tries) {
      for (const char* key : {"0", "20000", "40000", "65535"}) {
        cluster_.sendAndWait(node(2), target, key);
      }
      cluster_.runFor(std::chrono::milliseconds(20));
    }
    return node(index).server->startedRequests() > 0;
  }

  /// Posts a heartbeat of an earlier instance of the node's server.
  int reportFromEarlierInstance(std::size_t index, std::uint64_t started_ms) {
    const std::string body =
        R"({"service":")" + node(index).server_config.service + R"(","address":")" +
        toString(node(index).server->endpoint()) +
        R"(","zone":"z","version":"v1","slots":9,"state":"draining","coldRemaining":"0ms","born":)" +
        std::to_string(started_ms) + R"(,"callSeq":700})";
    const auto answer =
        httpCall(cluster_.loop(), node(index).router->reportsEndpoint(), "POST",
                 "/instances/" + node(index).server->instance() + "/heartbeat", body, std::chrono::seconds(5));
    return answer ? answer->status : 0;
  }

  std::string routerLog(std::size_t index) {
    std::ostringstream text;
    text << std::ifstream(cluster_.routerLogFile(node(index))).rdbuf();
    return text.str();
  }

  /// Waits until the text is in the log of the node's router.
  void expectLogged(std::size_t index, const std::string& text) {
    EXPECT_TRUE(cluster_.runUntil([&] { return routerLog(index).find(text) != std::string::npos; }))
        << text << " is not in:\n"
        << routerLog(index);
  }

  RouterCluster cluster_{GetParam()};
};

TEST_P(RestartedServerTest, ServerWithoutKeysServesAgain) {
  cluster_.restartServer(node(2));
  EXPECT_TRUE(servesAgain(2, "/orders/x"));
}

TEST_P(RestartedServerTest, ServerWithKeysServesAgain) {
  cluster_.restartServer(node(0));
  EXPECT_TRUE(servesAgain(0, "/search/x"));
  EXPECT_TRUE(cluster_.runUntilServing());
}

TEST_P(RestartedServerTest, ServesAgainAfterItsFailureWasDetected) {
  node(2).server.reset();
  int status = kOk;
  for (int tries = 0; tries < kTries && status == kOk; ++tries) {
    status = cluster_.sendAndWait(node(0), "/orders/x").response.status;
  }
  ASSERT_NE(status, kOk);
  cluster_.restartServer(node(2));
  EXPECT_TRUE(servesAgain(2, "/orders/x"));
}

TEST_P(RestartedServerTest, ServesAgainAfterEachOfSeveralRestarts) {
  constexpr int kStarts = 5;
  for (int start = 0; start < kStarts; ++start) {
    cluster_.restartServer(node(2));
    EXPECT_TRUE(servesAgain(2, "/orders/x")) << start;
  }
}

TEST_P(RestartedServerTest, ServesAgainAfterItsEarlierInstanceAnnouncedShutdown) {
  bool acknowledged = false;
  node(2).server->startDraining([&acknowledged] { acknowledged = true; });
  ASSERT_TRUE(cluster_.runUntil([&acknowledged] { return acknowledged; }));
  cluster_.restartServer(node(2));
  EXPECT_TRUE(servesAgain(2, "/orders/x"));
}

// The delayed heartbeat arrives after the first one of the new instance and reports that the server is draining.
TEST_P(RestartedServerTest, LateHeartbeatOfAnEarlierInstanceIsIgnored) {
  cluster_.restartServer(node(2));
  ASSERT_TRUE(servesAgain(2, "/orders/x"));
  EXPECT_EQ(reportFromEarlierInstance(2, 1'000), kOk);
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(cluster_.sendAndWait(node(0), "/orders/x").response.status, kOk);
  }
}

// Guards against logs that do not show why a server counts as ended or replaced.
TEST_P(RestartedServerTest, LogNamesTheInstanceThatWasReplaced) {
  const std::string before = node(2).server->instance();
  expectLogged(2, " cause=reported replaces=-\n");
  cluster_.restartServer(node(2));
  expectLogged(2, " cause=reported replaces=" + before);
  reportFromEarlierInstance(2, 1'000);
  expectLogged(2, "server: event=report-rejected ");
}

TEST_P(RestartedServerTest, LogNamesTheCallThatWasRefused) {
  node(2).server.reset();
  for (int tries = 0; tries < kTries && routerLog(2).find("event=gone") == std::string::npos; ++tries) {
    cluster_.sendAndWait(node(2), "/orders/x");
    cluster_.runFor(std::chrono::milliseconds(20));
  }
  expectLogged(2, " cause=refused-request draining=0\n");
}

INSTANTIATE_TEST_SUITE_P(BothFormsOfGrants, RestartedServerTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat));

}  // namespace
}  // namespace shedlever::test
