/// @file
/// Servers that are replaced at their address by other instances, which report themselves later.

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

/// A line that a server wrote when it took keys.
struct TakenRange {
  int first = 0;
  int last = 0;
  std::uint64_t token = 0;
};

class ReplacedServerTest : public ::testing::Test {
 protected:
  void SetUp() override {
    for (const char* service : {"search", "search", "orders"}) {
      cluster_.addNode(service);
    }
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  RouterCluster::Node& node(std::size_t index) { return *cluster_.nodes()[index]; }

  /// @return what follows the event in the lines that the instance logged at this node.
  std::vector<std::string> logged(std::size_t index, const std::string& instance, const std::string& event) {
    std::vector<std::string> found;
    std::ifstream log(node(index).server_config.log_file);
    for (std::string line; std::getline(log, line);) {
      std::istringstream fields(line);
      std::string time;
      std::string logged_instance;
      std::string logged_event;
      fields >> time >> logged_instance >> logged_event;
      if (logged_instance.starts_with(instance + "/") && logged_event == event) {
        std::string rest;
        std::getline(fields, rest);
        found.push_back(rest);
      }
    }
    return found;
  }

  std::vector<TakenRange> takenBy(std::size_t index, const std::string& instance) {
    std::vector<TakenRange> taken;
    for (const std::string& line : logged(index, instance, "take")) {
      TakenRange range;
      std::istringstream(line) >> range.first >> range.last >> range.token;
      taken.push_back(range);
    }
    return taken;
  }

  bool refusedOrTookCommand(std::size_t index, const std::string& instance) {
    return !logged(index, instance, "take").empty() || !logged(index, instance, "wrong-instance").empty();
  }

  RouterCluster cluster_;
};

// Guards against a renewal for a server that has ended, which its successor takes under the predecessor's token.
TEST_F(ReplacedServerTest, SuccessorTakesNoKeysBeforeItsFirstReport) {
  const std::string predecessor = node(0).server->instance();
  cluster_.replaceServer(node(0));
  const std::string successor = node(0).server->instance();
  ASSERT_NE(successor, predecessor);
  ASSERT_TRUE(cluster_.runUntil([&] { return refusedOrTookCommand(0, successor); }));
  EXPECT_TRUE(takenBy(0, successor).empty());
  cluster_.startHeartbeats(node(0));
  ASSERT_TRUE(cluster_.runUntil([&] { return !logged(0, successor, "take").empty(); }));
  for (const TakenRange& later : takenBy(0, successor)) {
    for (const TakenRange& earlier : takenBy(0, predecessor)) {
      const bool overlap = earlier.first <= later.last && later.first <= earlier.last;
      EXPECT_TRUE(!overlap || earlier.token < later.token) << later.first << "-" << later.last;
    }
  }
}

// Guards against keys that stay without an owner when their server was replaced and the successor reports late.
TEST_F(ReplacedServerTest, KeysMoveToOtherServersWhileTheSuccessorDoesNotReport) {
  cluster_.replaceServer(node(0));
  const std::string successor = node(0).server->instance();
  ASSERT_TRUE(cluster_.runUntil([&] { return refusedOrTookCommand(0, successor); }));
  EXPECT_TRUE(cluster_.runUntilServing());
  EXPECT_EQ(node(0).server->startedRequests(), 0U);
}

}  // namespace
}  // namespace shedlever::test
