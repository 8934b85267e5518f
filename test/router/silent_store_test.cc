/// @file
/// Configurations that change after the store was silent for a while.
///
/// Seen: for nine seconds all processes went on with an old configuration, while the store answered every call. Two
/// changes close together had made them wait 0.8 s before their next watch. In that time the store went silent: it took
/// the watches and never answered them, and kept their connections open. Each process waited for its watch to its end
/// of 30 s, and as all did, none could tell another of the newer version. Proved by a calm day on which the store goes
/// silent just then: with watches that were open before, all goes well.

#include <gtest/gtest.h>

#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;

class SilentStoreTest : public ::testing::Test {
 protected:
  void SetUp() override {
    cluster_.addNode("orders");
    cluster_.addNode("orders");
    cluster_.addNode("search");
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  RouterCluster cluster_;
};

TEST_F(SilentStoreTest, ChangeAfterwardsIsInForceThoughWatchesWereNeverAnswered) {
  cluster_.writeConfig(2, {"/search/", "/orders/", "/more/"});
  ASSERT_TRUE(cluster_.allAnswer("/more/x", kOk, seconds(5)));
  cluster_.writeConfig(3, {"/search/", "/orders/"});
  ASSERT_TRUE(cluster_.allAnswer("/more/x", kNotFound, seconds(5)));
  cluster_.setStoreMode("silent");
  // All have sent their next watch by then.
  cluster_.pause(seconds(1));
  cluster_.setStoreMode("up");
  cluster_.writeConfig(4, {"/search/", "/orders/", "/more/"});
  // Three times what is promised; an unanswered watch ended after 30 s.
  EXPECT_TRUE(cluster_.allAnswer("/more/x", kOk, seconds(6)));
}

}  // namespace
}  // namespace shedlever::test
