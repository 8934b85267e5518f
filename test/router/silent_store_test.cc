/// @file
/// End-to-end test of a configuration change after the store was unresponsive.
///
/// Guards against watches that all processes sent while the store was unresponsive: such a watch gets no response, its
/// connection stays open, and no peer can report the newer version.

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

TEST_F(SilentStoreTest, ChangeAfterSilenceIsActiveThoughWatchesGotNoResponse) {
  cluster_.writeConfig(2, {"/search/", "/orders/", "/more/"});
  ASSERT_TRUE(cluster_.allNodesRespond("/more/x", kOk, seconds(5)));
  cluster_.writeConfig(3, {"/search/", "/orders/"});
  ASSERT_TRUE(cluster_.allNodesRespond("/more/x", kNotFound, seconds(5)));
  cluster_.setStoreMode("silent");
  // Long enough for all processes to send their next watch after the burst pause.
  cluster_.runFor(seconds(1));
  cluster_.setStoreMode("up");
  cluster_.writeConfig(4, {"/search/", "/orders/", "/more/"});
  // Three times the time in which a change must be active; far less than the timeout of an unanswered watch.
  EXPECT_TRUE(cluster_.allNodesRespond("/more/x", kOk, seconds(6)));
}

}  // namespace
}  // namespace shedlever::test
