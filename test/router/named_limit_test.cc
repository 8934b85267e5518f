/// @file
/// The request rate that a server names holds for all nodes together. Guards against servers that got several times the
/// rate that they had named, because no node read it.

#include <gtest/gtest.h>

#include <algorithm>

#include "source/net/http_headers.h"
#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr double kLimit = 5;
constexpr int kRequests = 60;
constexpr Duration kLoadDuration = milliseconds(1500);
/// Requests that are started in excess of the limit, at most: those started at the beginning and at the end.
constexpr double kTolerance = 5;
/// Requests of this load are refused instead of waiting for long.
constexpr Duration kDeadline = milliseconds(1500);

class NamedLimitClusterTest : public ::testing::TestWithParam<GrantDelivery> {
 protected:
  void start(const std::vector<std::string>& services) {
    cluster_.setClientDeadline(kDeadline);
    for (const std::string& service : services) {
      cluster_.addNode(service);
    }
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  RouterCluster::Node& node(std::size_t index) { return *cluster_.nodes()[index]; }

  /// Makes the server of a node name the limit, and sends it a request so that its node has read it.
  void nameLimit(std::size_t index, const std::string& target) {
    node(index).server->setNamedLimit("5");
    const std::size_t before = node(index).server->startedRequests();
    while (node(index).server->startedRequests() == before) {
      cluster_.sendAndWait(node(0), target, "7");
    }
  }

  /// Sends requests at all nodes in turn, evenly distributed over the load duration, and waits for their responses.
  /// @return how long this took.
  Duration sendLoad(const std::string& target) {
    responses_.clear();
    const TimePoint begin = clock_.now();
    const std::size_t nodes = cluster_.nodes().size();
    for (int i = 0; i < kRequests; ++i) {
      const std::string key = std::to_string(i * 1000 % 65536);
      responses_.push_back(cluster_.send(node(static_cast<std::size_t>(i) % nodes), target, key));
      cluster_.runFor(kLoadDuration / kRequests);
    }
    EXPECT_TRUE(cluster_.runUntil([this] {
      return std::all_of(responses_.begin(), responses_.end(),
                         [](const auto& response) { return response->completed; });
    }));
    return clock_.now() - begin;
  }

  std::size_t countResponses(int status) const {
    return static_cast<std::size_t>(std::count_if(responses_.begin(), responses_.end(), [status](const auto& response) {
      return response->response.status == status;
    }));
  }

  /// Sends the load and expects the server of the node to get no more of it than it names.
  void expectLimitKept(std::size_t index, const std::string& target) {
    const std::size_t before = node(index).server->startedRequests();
    const Duration length = sendLoad(target);
    EXPECT_LE(static_cast<double>(node(index).server->startedRequests() - before),
              kLimit * std::chrono::duration<double>(length).count() + kTolerance);
  }

  BootTimeClock clock_;
  RouterCluster cluster_{GetParam()};
  std::vector<std::shared_ptr<ClientResponse>> responses_;
};

TEST_P(NamedLimitClusterTest, ServerGetsNoMoreRequestsThanItNamesFromAllNodesTogether) {
  start({"search", "orders", "maps"});
  nameLimit(0, "/search/x");
  expectLimitKept(0, "/search/x");
  EXPECT_GT(countResponses(kOk), 0U);
}

TEST_P(NamedLimitClusterTest, RequestsThatMustNotBeRepeatedCountToo) {
  start({"search", "orders", "maps"});
  nameLimit(1, "/orders/x");
  expectLimitKept(1, "/orders/x");
}

// A request for which the router has to remember that it ran takes another way to its server.
TEST_P(NamedLimitClusterTest, RequestsWithIdempotencyKeysCountToo) {
  cluster_.requireIdempotencyKeys();
  cluster_.setIdempotencyKey("first");
  start({"search", "orders"});
  node(1).server->setNamedLimit("5");
  const std::size_t before = node(1).server->startedRequests();
  const TimePoint begin = clock_.now();
  for (int i = 0; i < kRequests; ++i) {
    cluster_.setIdempotencyKey("key-" + std::to_string(i));
    responses_.push_back(cluster_.send(node(static_cast<std::size_t>(i) % 2), "/orders/x"));
    cluster_.runFor(kLoadDuration / kRequests);
  }
  EXPECT_TRUE(cluster_.runUntil([this] {
    return std::all_of(responses_.begin(), responses_.end(), [](const auto& response) { return response->completed; });
  }));
  EXPECT_LE(static_cast<double>(node(1).server->startedRequests() - before),
            kLimit * std::chrono::duration<double>(clock_.now() - begin).count() + kTolerance);
}

// The new process of the node must not start what the server's slots allow until it has read the limit.
TEST_P(NamedLimitClusterTest, RestartedProcessKeepsTheLimitItDoesNotKnowYet) {
  start({"search", "orders", "maps"});
  nameLimit(1, "/orders/x");
  cluster_.restartRouter(node(1));
  expectLimitKept(1, "/orders/x");
}

TEST_P(NamedLimitClusterTest, RequestsOverTheLimitAreServedByAnotherServer) {
  start({"search", "orders", "orders"});
  nameLimit(1, "/orders/x");
  expectLimitKept(1, "/orders/x");
  EXPECT_EQ(countResponses(kOk), static_cast<std::size_t>(kRequests));
}

TEST_P(NamedLimitClusterTest, RequestsThatNoServerTakesAreRefusedWithRetryAfter) {
  start({"search", "orders"});
  nameLimit(1, "/orders/x");
  sendLoad("/orders/x");
  EXPECT_GT(countResponses(kUnavailable), 0U);
  for (const auto& response : responses_) {
    if (response->response.status == kUnavailable) {
      EXPECT_FALSE(headerValue(response->response.headers, "Retry-After").empty());
    }
  }
}

// Otherwise the keys of a server in need are refused for as long as it names its limit.
TEST_P(NamedLimitClusterTest, KeysMoveAwayFromAServerThatNamesALimit) {
  start({"search", "search", "orders"});
  node(0).server->setNamedLimit("5");
  constexpr int kMaxLoads = 8;
  int loads = 0;
  do {
    sendLoad("/search/x");
  } while (countResponses(kOk) < kRequests && ++loads < kMaxLoads);
  EXPECT_EQ(countResponses(kOk), static_cast<std::size_t>(kRequests));
}

TEST_P(NamedLimitClusterTest, ServerThatNamesNoLimitAnyMoreGetsAllRequestsAgain) {
  start({"search", "orders"});
  node(1).server->setNamedLimit("0");
  cluster_.sendAndWait(node(0), "/orders/x");
  node(1).server->setNamedLimit("");
  constexpr int kMaxLoads = 8;
  int loads = 0;
  do {
    sendLoad("/orders/x");
  } while (countResponses(kOk) < kRequests && ++loads < kMaxLoads);
  EXPECT_EQ(countResponses(kOk), static_cast<std::size_t>(kRequests));
}

INSTANTIATE_TEST_SUITE_P(BothFormsOfGrants, NamedLimitClusterTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat));

}  // namespace
}  // namespace shedlever::test
