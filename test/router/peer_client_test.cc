/// @file
/// Tests the outcomes of requests whose node stops responding or becomes unreachable.

#include "source/router/peer_client.h"

#include <gtest/gtest.h>

#include "source/lab/sim/simulated_cluster.h"
#include "source/net/system_clock_and_random.h"
#include "test/support/fake_peer.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

class PeerClientTest : public ::testing::Test {
 protected:
  PeerClientTest()
      : directory_(NodeName("self"), ZoneName("z"), {}, random_),
        peer_client_(
            loop_, clock_, {NodeName("self"), Incarnation{1}}, directory_,
            {[](const NodeName&, bool) {}, [](const NodeName&) {}, [](const NodeName&, const PeerLease&) {},
             [](const OwnerTableFrame&) {}, [] { return ServerCrashesFrame{}; }, [](const ServerCrashesFrame&) {},
             [](const ConfigFrame&) {}, [this](const NodeIdentity& process) { identified_.push_back(process); }}) {}

  void addNodeAt(const Endpoint& endpoint) {
    NodeRecord record;
    record.node = node_;
    record.peer = endpoint;
    record.service = ServiceName("s");
    record.instance = InstanceId("i-1");
    directory_.update(record);
  }

  ForwardReplyFrame forward(RouteKind kind) {
    ForwardFrame frame;
    frame.kind = kind;
    frame.remaining_us = Duration(std::chrono::seconds(20)).count();
    std::optional<ForwardReplyFrame> reply;
    peer_client_.forward(node_, frame, [&reply](ForwardReplyFrame received) { reply = std::move(received); });
    EXPECT_TRUE(loop_.runUntil([&reply] { return reply.has_value(); }, kTestTimeout));
    return reply.value_or(ForwardReplyFrame{});
  }

  const NodeName node_{"other"};
  std::vector<NodeIdentity> identified_;
  EventLoop loop_;
  BootTimeClock clock_;
  sim::SeededRandom random_{1};
  ServerDirectory directory_;
  PeerClient peer_client_;
};

TEST_F(PeerClientTest, StreamIdentifiesTheIncarnationOfItsPeer) {
  const NodeIdentity process{node_, Incarnation{7}};
  FakePeer peer(loop_, process);
  addNodeAt(peer.endpoint());
  peer_client_.ensureConnected(node_);
  ASSERT_TRUE(loop_.runUntil([this] { return !identified_.empty(); }, kTestTimeout));
  EXPECT_EQ(identified_, std::vector<NodeIdentity>{process});
}

// A node that loses power closes no connections; its requests must not wait for their deadlines.
TEST_F(PeerClientTest, RequestToSilentNodeFinishesEarlyAndNodeIsMarkedUnreachable) {
  ScriptedServer silent(loop_, [](ScriptedConnection&) {});
  addNodeAt(silent.endpoint());
  const ForwardReplyFrame reply = forward(RouteKind::Idempotent);
  EXPECT_EQ(reply.outcome, ForwardOutcome::Unknown);
  EXPECT_EQ(reply.reason, ForwardReason::ConnectionLost);
  EXPECT_TRUE(directory_.isUnreachable(node_));
}

TEST_F(PeerClientTest, AtMostOnceRequestToSilentNodeIsNotReportedAsNotRun) {
  ScriptedServer silent(loop_, [](ScriptedConnection&) {});
  addNodeAt(silent.endpoint());
  EXPECT_EQ(forward(RouteKind::AtMostOnce).outcome, ForwardOutcome::Unknown);
}

// Without the latency of replies in the reported staleness, peers that can't reach the store would keep each other from
// detecting that their state is stale.
TEST_F(PeerClientTest, ReportedStalenessCountsFromSendTimeOfRequest) {
  constexpr Duration::rep kReportedStalenessUs = 1000;
  FakePeer peer(loop_, {node_, Incarnation{7}});
  std::optional<TimePoint> answered_at;
  peer.on_forward = [&](const ForwardFrame&) {
    answered_at = clock_.now();
    ForwardReplyFrame reply;
    reply.outcome = ForwardOutcome::NotRun;
    reply.known.config = {9, 9, kReportedStalenessUs};
    reply.known.nodes = {9, 9, kReportedStalenessUs};
    return std::optional(reply);
  };
  addNodeAt(peer.endpoint());
  const TimePoint sent_at = clock_.now();
  const ForwardReplyFrame reply = forward(RouteKind::Idempotent);
  ASSERT_TRUE(answered_at.has_value());
  EXPECT_GE(reply.known.config.staleness_us, kReportedStalenessUs + (*answered_at - sent_at).count());
  EXPECT_GE(reply.known.nodes.staleness_us, kReportedStalenessUs + (*answered_at - sent_at).count());
}

TEST_F(PeerClientTest, RequestWithRefusedConnectionHasNotRun) {
  addNodeAt(closedEndpoint(loop_));
  const ForwardReplyFrame reply = forward(RouteKind::AtMostOnce);
  EXPECT_EQ(reply.outcome, ForwardOutcome::NotRun);
  EXPECT_TRUE(directory_.isUnreachable(node_));
}

// A removed node's address may be reused by another node; if its process were taken for the removed node, the keys
// would never be taken over.
TEST_F(PeerClientTest, NodeWhoseAddressIsUsedByAnotherNodeIsUnreachable) {
  FakePeer other_node(loop_, {NodeName("stranger"), Incarnation{7}});
  addNodeAt(other_node.endpoint());
  const ForwardReplyFrame reply = forward(RouteKind::AtMostOnce);
  EXPECT_EQ(reply.outcome, ForwardOutcome::NotRun);
  EXPECT_EQ(reply.reason, ForwardReason::ServerDown);
  EXPECT_TRUE(directory_.isUnreachable(node_));
  EXPECT_TRUE(peer_client_.connectedNodes().empty());
}

// A new incarnation can't know whether the previous one started the request.
TEST_F(PeerClientTest, RequestToEarlierIncarnationHasUnknownOutcome) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  addNodeAt(peer.endpoint());
  std::optional<ForwardReplyFrame> reply;
  peer_client_.forward(node_, {}, [&reply](ForwardReplyFrame received) { reply = std::move(received); });
  ASSERT_TRUE(loop_.runUntil([&] { return peer.forwarded_requests == 1; }, kTestTimeout));
  peer.restartAs({node_, Incarnation{8}});
  ASSERT_TRUE(loop_.runUntil([&] { return reply.has_value(); }, kTestTimeout));
  EXPECT_EQ(reply->outcome, ForwardOutcome::Unknown);
  EXPECT_EQ(reply->reason, ForwardReason::ConnectionLost);
}

TEST_F(PeerClientTest, RequestReportedAsNotStartedBySameIncarnationHasNotRun) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  addNodeAt(peer.endpoint());
  std::optional<ForwardReplyFrame> reply;
  peer_client_.forward(node_, {}, [&reply](ForwardReplyFrame received) { reply = std::move(received); });
  ASSERT_TRUE(loop_.runUntil([&] { return peer.forwarded_requests == 1; }, kTestTimeout));
  peer.restartAs({node_, Incarnation{7}});
  ASSERT_TRUE(loop_.runUntil([&] { return reply.has_value(); }, kTestTimeout));
  EXPECT_EQ(reply->outcome, ForwardOutcome::NotRun);
  EXPECT_EQ(peer.exchange_queries, 1U);
}

TEST_F(PeerClientTest, RequestToUnknownNodeHasNotRun) {
  EXPECT_EQ(forward(RouteKind::AtMostOnce).outcome, ForwardOutcome::NotRun);
}

}  // namespace
}  // namespace shedlever::test
