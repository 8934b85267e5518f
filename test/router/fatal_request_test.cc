/// @file
/// One request under which servers end.
///
/// Seen on a deployment with four servers of a service divided by key: a few clients asked for the same thing every
/// 0.3 s, at any machine, and each server that began it ended 0.1 s later. Three servers were gone within 2 s, and as
/// each came back its key's request came back too: 37 lives ended in 85 s. No process remembered what a server had been
/// at work on when it ended, so that each repeat went to the key's next owner as if nothing had been. Proved by the
/// lines of the gates: 17 or 18 requests were lost in the same millisecond each time, one for the same key among them.
///
/// Three servers are what it takes to know such a request; three more may get it while that is told.

#include <gtest/gtest.h>

#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

constexpr std::size_t kMostBegun = 6;
constexpr std::size_t kRepeats = 14;

class FatalRequestTest : public ::testing::Test {
 protected:
  void start(const std::string& fatal_path) {
    fatal_path_ = fatal_path;
    cluster_.setFatalPath(fatal_path);
    for (const char* service : {"search", "search", "orders", "orders"}) {
      cluster_.addNode(service);
    }
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  RouterCluster::Node& node(std::size_t index) { return *cluster_.nodes()[index]; }

  /// Asks again and again, at each machine in turn, each time with all servers back.
  void repeat(std::size_t times) {
    for (std::size_t i = 0; i < times; ++i) {
      last_ = cluster_.ask(node(i % cluster_.nodes().size()), fatal_path_, "7");
      ASSERT_TRUE(cluster_.runUntilServing());
    }
  }

  std::string fatal_path_;
  RouterCluster cluster_;
  ClientAnswer last_;
};

TEST_F(FatalRequestTest, OfAKeyReachesFewServers) {
  start("/search/fatal");
  repeat(kRepeats);
  EXPECT_GE(cluster_.serversEnded(), 2U);
  EXPECT_LE(cluster_.fatalBegun(), kMostBegun);
}

TEST_F(FatalRequestTest, WithoutAKeyReachesFewServers) {
  start("/orders/fatal");
  repeat(kRepeats);
  EXPECT_GE(cluster_.serversEnded(), 2U);
  EXPECT_LE(cluster_.fatalBegun(), kMostBegun);
}

}  // namespace
}  // namespace shedlever::test
