/// @file
/// Choice of a server for requests without a key.

#include <gtest/gtest.h>

#include <map>
#include <optional>

#include "source/lab/sim/simulated_cluster.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("maps");
constexpr TimePoint kNow{seconds(50)};

NodeRecord record(const std::string& name, const std::string& zone) {
  NodeRecord made;
  made.node = NodeName(name);
  made.zone = ZoneName(zone);
  made.service = kService;
  made.instance = InstanceId("i-" + name);
  made.slots = 10;
  return made;
}

class ServerDirectoryTest : public ::testing::Test {
 protected:
  ServerDirectoryTest() : directory_(NodeName("self"), ZoneName("near"), config(), random_) {
    directory_.update(record("a", "near"));
    directory_.update(record("b", "far"));
    directory_.update(record("c", "far"));
  }

  static ServerChoiceConfig config() {
    ServerChoiceConfig made;
    made.exploration = 0;
    return made;
  }

  void load(const std::string& node, std::uint32_t running, std::uint32_t queued) {
    ForwardReplyFrame reply;
    reply.load = {running, queued, 10};
    directory_.onReply(NodeName(node), "r", reply, kNow);
  }

  /// @return how often each node was chosen.
  std::map<std::string, int> choose(RouteKind kind, int times, const std::set<InstanceId>& excluded = {}) {
    std::map<std::string, int> chosen;
    for (int i = 0; i < times; ++i) {
      const NodeRecord* server = directory_.choose(kService, kind, excluded, kNow);
      ++chosen[server == nullptr ? "none" : server->node.value];
    }
    return chosen;
  }

  sim::SeededRandom random_{7};
  ServerDirectory directory_;
};

TEST_F(ServerDirectoryTest, LocalZoneIsChosenWhileItHasCapacity) {
  load("a", 5, 0);
  EXPECT_EQ(choose(RouteKind::Download, 100)["a"], 100);
}

TEST_F(ServerDirectoryTest, OtherZoneIsChosenWhenTheLocalServerIsFull) {
  load("a", 10, 5);
  load("b", 1, 0);
  load("c", 9, 0);
  EXPECT_EQ(choose(RouteKind::Idempotent, 100)["b"], 100);
}

TEST_F(ServerDirectoryTest, SlowServerGetsFewerSmallRequests) {
  for (int i = 0; i < 200; ++i) {
    for (const auto& [node, service_ms] : std::map<std::string, int>{{"a", 200}, {"b", 100}, {"c", 100}}) {
      ForwardReplyFrame reply;
      reply.outcome = ForwardOutcome::Answered;
      reply.load = {2, 0, 10};
      reply.service_us = Duration(milliseconds(service_ms)).count();
      directory_.onReply(NodeName(node), "r", reply, kNow);
    }
  }
  EXPECT_LT(choose(RouteKind::Idempotent, 100)["a"], 10);
  EXPECT_EQ(choose(RouteKind::Download, 100)["a"], 100);
}

// Guards against outdated loads that count as current because their reply was delayed on a full link.
TEST_F(ServerDirectoryTest, LoadOfAReplyCountsFromWhenTheReplyWasSent) {
  ForwardReplyFrame reply;
  reply.load = {10, 5, 10};
  reply.sent_at_us = (kNow - milliseconds(700)).time_since_epoch().count();
  directory_.onReply(NodeName("a"), "r", reply, kNow);
  EXPECT_EQ(directory_.loadAge(NodeName("a"), kNow), milliseconds(700));
}

// A large reply is sent in parts and arrives after small ones that were sent later.
TEST_F(ServerDirectoryTest, LoadOfAnEarlierReplyDoesNotReplaceThatOfALaterOne) {
  ForwardReplyFrame later;
  later.load = {10, 5, 10};
  later.sent_at_us = (kNow - milliseconds(10)).time_since_epoch().count();
  directory_.onReply(NodeName("a"), "r", later, kNow);
  ForwardReplyFrame earlier;
  earlier.load = {1, 0, 10};
  earlier.sent_at_us = (kNow - milliseconds(400)).time_since_epoch().count();
  directory_.onReply(NodeName("a"), "r", earlier, kNow);
  EXPECT_EQ(directory_.load(NodeName("a"), kNow)->queued, 5U);
  EXPECT_EQ(directory_.loadAge(NodeName("a"), kNow), milliseconds(10));
}

// A server that fails all requests quickly must not appear fast and idle and attract most of them.
TEST_F(ServerDirectoryTest, FailingServerIsAvoidedUntilItsFailureRatioHasDecayed) {
  ForwardReplyFrame reply;
  reply.outcome = ForwardOutcome::Answered;
  reply.service_us = 1000;
  reply.load = {0, 0, 10, 0, 800};
  directory_.onReply(NodeName("a"), "r", reply, kNow);
  EXPECT_EQ(choose(RouteKind::AtMostOnce, 100)["a"], 0);
  EXPECT_NEAR(directory_.failureRatio(NodeName("a"), kNow + seconds(2)), 0.4, 0.01);
  EXPECT_LT(directory_.failureRatio(NodeName("a"), kNow + seconds(10)), 0.03);
}

TEST_F(ServerDirectoryTest, TriedDrainingAndUnreachableServersAreExcluded) {
  EXPECT_EQ(choose(RouteKind::AtMostOnce, 10, {InstanceId("i-a"), InstanceId("i-b"), InstanceId("i-c")})["none"], 10);
  directory_.markDraining(NodeName("a"));
  directory_.markUnreachable(NodeName("b"));
  EXPECT_EQ(choose(RouteKind::AtMostOnce, 10)["c"], 10);
  EXPECT_TRUE(directory_.isUnreachable(NodeName("b")));
  directory_.onReachable(NodeName("b"));
  EXPECT_FALSE(directory_.isUnreachable(NodeName("b")));
  EXPECT_EQ(directory_.availableServers(kService).size(), 2U);
}

// Requests must not go to servers of a zone without power.
TEST_F(ServerDirectoryTest, ServersOfEvacuatedZonesAreExcluded) {
  directory_.setEvacuated({ZoneName("far")});
  EXPECT_EQ(choose(RouteKind::Idempotent, 100)["a"], 100);
  EXPECT_EQ(directory_.availableServers(kService).size(), 1U);
  directory_.setEvacuated({ZoneName("far"), ZoneName("near")});
  EXPECT_EQ(choose(RouteKind::Idempotent, 10)["none"], 10);
  EXPECT_TRUE(directory_.isFullyEvacuated(kService));
  EXPECT_FALSE(directory_.isFullyEvacuated(ServiceName("another")));
  directory_.setEvacuated({});
  EXPECT_EQ(directory_.availableServers(kService).size(), 3U);
  EXPECT_FALSE(directory_.isFullyEvacuated(kService));
}

TEST_F(ServerDirectoryTest, UnreachableServerIsNotChosenBeforeItAnswers) {
  directory_.markUnreachable(NodeName("a"));
  const NodeRecord* later = directory_.choose(kService, RouteKind::AtMostOnce, {}, kNow + seconds(60));
  ASSERT_NE(later, nullptr);
  EXPECT_NE(later->node, NodeName("a"));
  directory_.onReachable(NodeName("a"));
  EXPECT_GT(choose(RouteKind::AtMostOnce, 50)["a"], 0);
}

// Guards against requests that are sent to a stalled node until it counts as silent.
TEST_F(ServerDirectoryTest, RequestsPreferOtherServersWhileANodeIsBehind) {
  directory_.markBehind(NodeName("a"), kNow + milliseconds(100));
  EXPECT_TRUE(directory_.isBehind(NodeName("a"), kNow));
  EXPECT_EQ(choose(RouteKind::Idempotent, 100)["a"], 0);
  EXPECT_EQ(directory_.availableServers(kService).size(), 3U) << "its keys stay with it";
  directory_.markBehind(NodeName("a"), kNow);
  EXPECT_FALSE(directory_.isBehind(NodeName("a"), kNow));
  EXPECT_GT(choose(RouteKind::Idempotent, 100)["a"], 0);
}

TEST_F(ServerDirectoryTest, NodeThatIsBehindIsChosenBeforeServersWithLongQueues) {
  directory_.markBehind(NodeName("a"), kNow + milliseconds(100));
  load("a", 1, 0);
  load("b", 10, 30);
  load("c", 10, 30);
  EXPECT_EQ(choose(RouteKind::Idempotent, 100)["a"], 100);
}

TEST_F(ServerDirectoryTest, NewIncarnationOfANodeIsReachable) {
  directory_.markUnreachable(NodeName("b"));
  NodeRecord restarted = record("b", "far");
  restarted.incarnation = Incarnation{5};
  directory_.update(restarted);
  EXPECT_FALSE(directory_.isUnreachable(NodeName("b")));
  EXPECT_EQ(directory_.availableServers(kService).size(), 3U);
}

// A locally generated reply for a broken stream must not mark a dead node as reachable.
TEST_F(ServerDirectoryTest, LocallyGeneratedReplyDoesNotMarkANodeReachable) {
  directory_.markUnreachable(NodeName("b"));
  ForwardReplyFrame generated;
  generated.outcome = ForwardOutcome::NotRun;
  generated.reason = ForwardReason::ConnectionLost;
  directory_.onReply(NodeName("b"), "r", generated, kNow);
  EXPECT_TRUE(directory_.isUnreachable(NodeName("b")));
  load("b", 1, 0);
  EXPECT_FALSE(directory_.isUnreachable(NodeName("b")));
}

TEST_F(ServerDirectoryTest, StatedBandwidthIsKnownUntilTheNodesProcessRestarts) {
  ForwardReplyFrame reply;
  reply.load = {1, 0, 10};
  reply.load.link_kbytes_per_s = 1250;
  directory_.onReply(NodeName("b"), "r", reply, kNow);
  EXPECT_TRUE(directory_.links().isLimited(NodeName("b")));
  directory_.update(record("b", "far"));
  EXPECT_TRUE(directory_.links().isLimited(NodeName("b")));
  NodeRecord restarted = record("b", "far");
  restarted.incarnation = Incarnation{5};
  directory_.update(restarted);
  EXPECT_FALSE(directory_.links().isLimited(NodeName("b")));
}

// No link lies between a process and its own server.
TEST_F(ServerDirectoryTest, OwnNodeHasNoLink) {
  ForwardReplyFrame reply;
  reply.load = {1, 0, 10};
  reply.load.link_kbytes_per_s = 1250;
  directory_.update(record("self", "near"));
  directory_.onReply(NodeName("self"), "r", reply, kNow);
  EXPECT_FALSE(directory_.links().isLimited(NodeName("self")));
}

class LinkChoiceTest : public ServerDirectoryTest {
 protected:
  /// The node states a link of 10 Mbit/s and this delay of arrivals.
  void stateLink(const std::string& node, std::uint32_t delay_ms) {
    ForwardReplyFrame reply;
    reply.load = {1, 0, 10};
    reply.load.link_kbytes_per_s = 1250;
    reply.load.arrival_delay_ms = delay_ms;
    directory_.onReply(NodeName(node), "r", reply, kNow);
  }

  std::map<std::string, int> chooseFor(const RequestDemand& demand) {
    std::map<std::string, int> chosen;
    for (int i = 0; i < 100; ++i) {
      const NodeRecord* server = directory_.choose(kService, RouteKind::AtMostOnce, {}, kNow, demand);
      ++chosen[server == nullptr ? "none" : server->node.value];
    }
    return chosen;
  }

  const RequestDemand upload_{60'000, milliseconds(1000), "r"};
  const RequestDemand call_{500, milliseconds(1000), "r"};
};

// A server with free slots behind a full link must not look free.
TEST_F(LinkChoiceTest, ServersBehindFullLinksGetNothingThatWouldArriveTooLate) {
  stateLink("a", 1500);
  stateLink("b", 1500);
  stateLink("c", 0);
  EXPECT_EQ(chooseFor(upload_)["c"], 100);
  EXPECT_EQ(chooseFor(call_)["c"], 100);
  EXPECT_EQ(directory_.linkShortage(kService, {}, kNow, upload_), std::nullopt);
}

// A request that waits here for a link can't go elsewhere in time.
TEST_F(LinkChoiceTest, RequestThatWouldArriveTooLateEverywhereHasAShortageOfTheLeastWait) {
  stateLink("a", 1500);
  stateLink("b", 1200);
  stateLink("c", 2000);
  EXPECT_EQ(chooseFor(upload_)["none"], 100);
  const std::optional<LinkShortage> shortage = directory_.linkShortage(kService, {}, kNow, upload_);
  ASSERT_TRUE(shortage.has_value());
  EXPECT_EQ(shortage->node, NodeName("b"));
  EXPECT_EQ(shortage->arrival, milliseconds(1248));
  EXPECT_EQ(shortage->wait, milliseconds(248));
  EXPECT_EQ(directory_.linkShortage(kService, {InstanceId("i-b")}, kNow, upload_)->node, NodeName("a"));
  EXPECT_TRUE(directory_.linkShortageAt(NodeName("c"), kNow, upload_).has_value());
  EXPECT_EQ(directory_.linkShortageAt(NodeName("unknown"), kNow, upload_), std::nullopt);
}

TEST_F(LinkChoiceTest, WhereNoLinkIsStatedTheChoiceIsAsWithoutADemand) {
  load("a", 5, 0);
  load("b", 5, 0);
  load("c", 9, 0);
  EXPECT_EQ(chooseFor(upload_)["none"], 0);
  EXPECT_EQ(chooseFor(upload_)["c"], 0);
  EXPECT_EQ(directory_.linkShortage(kService, {}, kNow, upload_), std::nullopt);
  EXPECT_EQ(directory_.linkShortage(ServiceName("none"), {}, kNow, upload_), std::nullopt);
}

// Otherwise all processes would send their uploads to the server that looked best in the last reply.
TEST_F(LinkChoiceTest, LargeRequestsAreSpreadOverEqualLinksAlsoIfOneServerLooksBest) {
  for (const char* node : {"a", "b", "c"}) {
    stateLink(node, 20);
  }
  stateLink("a", 0);
  const std::map<std::string, int> chosen = chooseFor(upload_);
  EXPECT_LT(chosen.at("a"), 85);
  EXPECT_GT(chosen.at("b"), 5);
  EXPECT_GT(chosen.at("c"), 5);
}

TEST_F(ServerDirectoryTest, UnknownNodeIsUnreachableAndHasNoRecord) {
  EXPECT_TRUE(directory_.isUnreachable(NodeName("z")));
  EXPECT_EQ(directory_.node(NodeName("z")), nullptr);
}

}  // namespace
}  // namespace shedlever::test
