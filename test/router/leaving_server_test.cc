/// @file
/// A server that says in its responses that it is leaving, while its heartbeats say nothing of it. Guards against
/// requests that reach it after the time in which it still takes some.

#include <gtest/gtest.h>

#include "source/net/http_headers.h"
#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

constexpr int kOk = 200;
constexpr int kRequests = 12;

class LeavingServerTest : public ::testing::TestWithParam<GrantDelivery> {
 protected:
  void start(const std::vector<std::string>& services) {
    for (const std::string& service : services) {
      cluster_.addNode(service);
    }
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  RouterCluster::Node& node(std::size_t index) { return *cluster_.nodes()[index]; }

  /// Makes the server of a node say that it is leaving, with its next response, and waits until a client has got it.
  void leave(std::size_t index, const std::string& target) {
    node(index).server->setLeaving();
    const std::size_t before = node(index).server->startedRequests();
    for (int i = 0; node(index).server->startedRequests() == before; ++i) {
      cluster_.sendAndWait(node(static_cast<std::size_t>(i) % cluster_.nodes().size()), target, keyOf(i));
    }
  }

  static std::string keyOf(int request) { return std::to_string(request * 5000 % 65536); }

  /// @return the number of requests that a server starts while requests are sent at all nodes.
  std::size_t startsDuringLoad(std::size_t index, const std::string& target) {
    const std::size_t before = node(index).server->startedRequests();
    for (int i = 0; i < kRequests; ++i) {
      for (const auto& entry : cluster_.nodes()) {
        EXPECT_EQ(cluster_.sendAndWait(*entry, target, keyOf(i)).response.status, kOk);
      }
    }
    return node(index).server->startedRequests() - before;
  }

  RouterCluster cluster_{GetParam()};
};

TEST_P(LeavingServerTest, GetsNoRequestWithoutAKeyAfterItsFirstResponseThatSaysSo) {
  start({"search", "orders", "orders"});
  leave(1, "/orders/x");
  EXPECT_EQ(startsDuringLoad(1, "/orders/x"), 0U);
}

TEST_P(LeavingServerTest, HandsItsKeysOver) {
  start({"search", "search", "orders"});
  leave(0, "/search/x");
  cluster_.runFor(StopConfig{}.drain);
  ASSERT_TRUE(cluster_.runUntilServing());
  EXPECT_EQ(startsDuringLoad(0, "/search/x"), 0U);
}

// The new process knows nothing of the earlier responses, and the node's record says that the server takes requests.
TEST_P(LeavingServerTest, GetsNoRequestAfterTheProcessBesideItHasRestarted) {
  start({"search", "orders", "orders"});
  leave(1, "/orders/x");
  for (const auto& entry : cluster_.nodes()) {
    cluster_.sendAndWait(*entry, "/orders/x");
  }
  cluster_.restartRouter(node(1));
  ASSERT_TRUE(cluster_.runUntilServing());
  EXPECT_EQ(startsDuringLoad(1, "/orders/x"), 0U);
}

TEST_P(LeavingServerTest, HandsItsKeysOverAfterTheProcessBesideItHasRestarted) {
  start({"search", "search", "orders"});
  leave(0, "/search/x");
  cluster_.restartRouter(node(0));
  cluster_.runFor(StopConfig{}.drain);
  ASSERT_TRUE(cluster_.runUntilServing());
  EXPECT_EQ(startsDuringLoad(0, "/search/x"), 0U);
}

// A repeated request gets the recorded response, which says nothing about the server any more.
TEST_P(LeavingServerTest, RecordedResponseDoesNotSayThatTheServerIsLeaving) {
  cluster_.requireIdempotencyKeys();
  cluster_.setIdempotencyKey("started");
  start({"search", "orders"});
  node(1).server->setLeaving();
  node(1).server->setNamedLimit("7");
  cluster_.setIdempotencyKey("repeated");
  const ClientResponse first = cluster_.sendAndWait(node(0), "/orders/x");
  EXPECT_EQ(headerValue(first.response.headers, "Server-Leaving"), "1");
  EXPECT_EQ(headerValue(first.response.headers, "Server-Limit"), "7");
  ClientResponse repeated;
  for (int tries = 0; tries < 200 && repeated.response.status != kOk; ++tries) {
    // The response may not be recorded yet.
    cluster_.runFor(std::chrono::milliseconds(20));
    repeated = cluster_.sendAndWait(node(0), "/orders/x");
  }
  EXPECT_EQ(repeated.response.status, kOk);
  EXPECT_EQ(headerValue(repeated.response.headers, "Server-Leaving"), "");
  EXPECT_EQ(headerValue(repeated.response.headers, "Server-Limit"), "");
}

TEST_P(LeavingServerTest, LaterInstanceWithTheSameIdGetsRequests) {
  cluster_.setKeepServerIds(true);
  start({"search", "orders"});
  leave(1, "/orders/x");
  cluster_.restartServer(node(1));
  EXPECT_TRUE(cluster_.runUntilServing());
}

INSTANTIATE_TEST_SUITE_P(BothFormsOfGrants, LeavingServerTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat));

}  // namespace
}  // namespace shedlever::test
