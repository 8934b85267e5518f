/// @file
/// The request rate that a server names holds for all nodes together. Guards against servers that got several times the
/// rate that they had named, because no node read it.

#include <gtest/gtest.h>

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
/// Requests that are started in excess of the limit, at most: those of one burst, and those started at the beginning
/// and at the end of the time.
constexpr double kTolerance = 5;

class NamedLimitClusterTest : public ::testing::TestWithParam<GrantDelivery> {
 protected:
  /// Starts nodes and lets each server state its condition.
  void start(const std::vector<std::string>& services) {
    for (const std::string& service : services) {
      cluster_.addNode(service);
    }
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  RouterCluster::Node& node(std::size_t index) { return *cluster_.nodes()[index]; }

  /// Sends requests at all nodes in turn, evenly distributed over the load duration, and waits for their responses.
  void sendLoad(const std::string& target) {
    const std::size_t nodes = cluster_.nodes().size();
    for (int i = 0; i < kRequests; ++i) {
      const std::string key = std::to_string(i * 1000 % 65536);
      responses_.push_back(cluster_.send(node(static_cast<std::size_t>(i) % nodes), target, key));
      cluster_.runFor(kLoadDuration / kRequests);
    }
    EXPECT_TRUE(cluster_.runUntil([this] {
      return std::all_of(responses_.begin(), responses_.end(), [](const auto& response) { return response->completed; });
    }));
  }

  std::size_t countResponses(int status) const {
    return static_cast<std::size_t>(
        std::count_if(responses_.begin(), responses_.end(),
                      [status](const auto& response) { return response->response.status == status; }));
  }

  RouterCluster cluster_{GetParam()};
  std::vector<std::shared_ptr<ClientResponse>> responses_;
};

constexpr double maxStarts(double limit) {
  return limit * std::chrono::duration<double>(kLoadDuration + seconds(1)).count() + kTolerance;
}

TEST_P(NamedLimitClusterTest, ServerGetsNoMoreRequestsThanItNamesFromAllNodesTogether) {
  start({"search", "orders", "maps"});
  node(0).server->setNamedLimit("5");
  ASSERT_EQ(cluster_.sendAndWait(node(1), "/search/x", "7").response.status, kOk);
  const std::size_t before = node(0).server->startedRequests();
  sendLoad("/search/x");
  EXPECT_LE(static_cast<double>(node(0).server->startedRequests() - before), maxStarts(kLimit));
}

INSTANTIATE_TEST_SUITE_P(BothFormsOfGrants, NamedLimitClusterTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat));

}  // namespace
}  // namespace shedlever::test
