/// @file
/// Which servers a node moves keys to, and in which order.

#include "source/core/router/ownership/owner_candidates.h"

#include <gtest/gtest.h>

#include "source/lab/sim/virtual_store.h"
#include "test/support/serving_node.h"

namespace shedlever::test {
namespace {

const ServiceName kService("maps");
constexpr TimePoint kNow{std::chrono::seconds(50)};
constexpr std::uint32_t kSlots = 10;

OwnerLocation location(const std::string& node) { return {InstanceId("i-" + node), NodeName(node)}; }

/// Four servers with keys; "b" is this node.
class OwnerCandidatesTest : public ::testing::Test {
 protected:
  OwnerCandidatesTest() {
    for (const std::string name : {"a", "b", "c", "d"}) {
      directory_.update(servingNode(name, kService, kSlots));
      report(name, 5, 0);
    }
  }

  /// The node reports its running requests and its failures in thousandths.
  void report(const std::string& node, std::uint32_t running, std::uint32_t failed_permille) {
    ForwardReplyFrame reply;
    reply.load = {running, 0, kSlots};
    reply.load.failed_permille = failed_permille;
    directory_.onReply(NodeName(node), "route", reply, kNow);
  }

  sim::SeededRandom random_{7};
  ServerDirectory directory_{NodeName("b"), ZoneName("zone"), {}, random_};
  OwnershipConfig config_;
  OwnerTable table_ = OwnerTable::divideEvenly({location("a"), location("b"), location("c"), location("d")});
  OwnerCandidates candidates_{NodeName("b"), kService, config_, directory_, table_};
};

TEST_F(OwnerCandidatesTest, TargetsAreTheOtherServersLeastLoadedFirst) {
  report("a", 9, 0);
  report("c", 7, 0);
  report("d", 2, 0);
  EXPECT_EQ(candidates_.targets(kNow), (std::vector{location("d"), location("c"), location("a")}));
}

TEST_F(OwnerCandidatesTest, ServersWithEqualLoadStayInTheOrderOfTheirNames) {
  EXPECT_EQ(candidates_.targets(kNow), (std::vector{location("a"), location("c"), location("d")}));
}

// An equal share of a leaving server's keys would be more than a server takes that names a limit.
TEST_F(OwnerCandidatesTest, ServersThatNameALimitGetAllKeysOfAServerOnlyIfAllDo) {
  directory_.setNamesLimit(NodeName("a"), true);
  EXPECT_EQ(candidates_.unlimitedTargets(kNow), (std::vector{location("c"), location("d")}));
  directory_.setNamesLimit(NodeName("c"), true);
  directory_.setNamesLimit(NodeName("d"), true);
  EXPECT_EQ(candidates_.unlimitedTargets(kNow), candidates_.targets(kNow));
}

TEST_F(OwnerCandidatesTest, LaterInstanceOfAServerThatNamedALimitNamesNone) {
  directory_.setNamesLimit(NodeName("a"), true);
  NodeRecord record = *directory_.node(NodeName("a"));
  record.instance = InstanceId("i-a2");
  directory_.update(record);
  EXPECT_FALSE(directory_.namesLimit(NodeName("a")));
}

TEST_F(OwnerCandidatesTest, ServerWithoutKeysIsIdleWhateverItReported) {
  directory_.update(servingNode("e", kService, kSlots));
  report("e", 10, 0);
  EXPECT_EQ(candidates_.targets(kNow).front(), location("e"));
}

TEST_F(OwnerCandidatesTest, ServerOfANodeThatHasNotAnsweredIsNoTarget) {
  directory_.update(servingNode("e", kService, kSlots));
  directory_.markUnreachable(NodeName("c"));
  EXPECT_EQ(candidates_.targets(kNow), (std::vector{location("a"), location("d")}));
}

TEST_F(OwnerCandidatesTest, ServersAtWhichManyRequestsFailAreTargetsOnlyIfThereAreNoOthers) {
  report("a", 5, 500);
  report("c", 5, 500);
  EXPECT_EQ(candidates_.targets(kNow), (std::vector{location("d")}));
  report("d", 5, 500);
  EXPECT_EQ(candidates_.targets(kNow).size(), 3U);
}

TEST_F(OwnerCandidatesTest, NoServerIsHealthierWhileFewRequestsFailHere) {
  EXPECT_TRUE(candidates_.healthierTargets(config_.max_failure_ratio - 0.01, kNow).empty());
}

TEST_F(OwnerCandidatesTest, HealthierTargetsFailLessByTheConfiguredGap) {
  report("a", 5, 250);
  report("c", 5, 150);
  EXPECT_EQ(candidates_.healthierTargets(0.5, kNow), (std::vector{location("c"), location("d")}));
}

TEST_F(OwnerCandidatesTest, AvailableServersIncludeThisNodesServer) {
  EXPECT_EQ(candidates_.available(), (std::vector{location("a"), location("b"), location("c"), location("d")}));
}

TEST_F(OwnerCandidatesTest, RankCountsAvailableServersWithEarlierNames) {
  EXPECT_EQ(candidates_.rank(), 1U);
  directory_.markDraining(NodeName("a"));
  EXPECT_EQ(candidates_.rank(), 0U);
}

}  // namespace
}  // namespace shedlever::test
