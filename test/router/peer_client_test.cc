/// @file
/// What becomes of requests when the node that they were sent to falls silent or goes away.

#include "source/router/peer_client.h"

#include <gtest/gtest.h>

#include "source/lab/sim/ownership_world.h"
#include "source/net/system_sources.h"
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
             [](const OwnerTableFrame&) {}, [] { return ServerCrashesFrame{}; }, [](const ServerCrashesFrame&) {}}) {}

  void knowNodeAt(const Endpoint& endpoint) {
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
    peer_client_.forward(node_, frame, [&reply](ForwardReplyFrame told) { reply = std::move(told); });
    EXPECT_TRUE(loop_.runUntil([&reply] { return reply.has_value(); }, kTestCap));
    return reply.value_or(ForwardReplyFrame{});
  }

  const NodeName node_{"other"};
  EventLoop loop_;
  BootTimeClock clock_;
  sim::SeededRandom random_{1};
  ServerDirectory directory_;
  PeerClient peer_client_;
};

// Seen: a machine without power says nothing. Requests to it waited to the end of their time, and more
// were sent to it meanwhile.
TEST_F(PeerClientTest, RequestAtASilentNodeIsGivenUpSoon) {
  ScriptedServer silent(loop_, [](ScriptedConnection&) {});
  knowNodeAt(silent.endpoint());
  const ForwardReplyFrame reply = forward(RouteKind::Idempotent);
  EXPECT_EQ(reply.outcome, ForwardOutcome::Unknown);
  EXPECT_EQ(reply.reason, ForwardReason::ConnectionLost);
  EXPECT_TRUE(directory_.isUnreachable(node_));
}

TEST_F(PeerClientTest, OnceOnlyRequestAtASilentNodeIsNeverCalledNotRun) {
  ScriptedServer silent(loop_, [](ScriptedConnection&) {});
  knowNodeAt(silent.endpoint());
  EXPECT_EQ(forward(RouteKind::AtMostOnce).outcome, ForwardOutcome::Unknown);
}

// Seen at 83 nodes, a third of them without a way to the store, the one that watched it among them: replies told ages
// without their time on the way, hop after hop, and for 2.5 s nobody took what it knew for old.
TEST_F(PeerClientTest, AgeOfWhatAReplyTellsCountsFromWhenItsRequestWasSent) {
  constexpr Duration::rep kTold = 1000;
  FakePeer peer(loop_, {node_, Incarnation{7}});
  std::optional<TimePoint> answered_at;
  peer.on_forward = [&](const ForwardFrame&) {
    answered_at = clock_.now();
    ForwardReplyFrame reply;
    reply.outcome = ForwardOutcome::NotRun;
    reply.known.config = {9, 9, kTold};
    reply.known.nodes = {9, 9, kTold};
    return std::optional(reply);
  };
  knowNodeAt(peer.endpoint());
  const TimePoint sent_at = clock_.now();
  const ForwardReplyFrame reply = forward(RouteKind::Idempotent);
  ASSERT_TRUE(answered_at.has_value());
  EXPECT_GE(reply.known.config.staleness_us, kTold + (*answered_at - sent_at).count());
  EXPECT_GE(reply.known.nodes.staleness_us, kTold + (*answered_at - sent_at).count());
}

TEST_F(PeerClientTest, RequestThatCouldNotBeSentHasNotRun) {
  knowNodeAt(closedEndpoint(loop_));
  const ForwardReplyFrame reply = forward(RouteKind::AtMostOnce);
  EXPECT_EQ(reply.outcome, ForwardOutcome::NotRun);
  EXPECT_TRUE(directory_.isUnreachable(node_));
}

// Seen: a machine went for good and its address was given to a machine of another service. The process
// there answered, so the node that was gone counted as there, and nobody took its keys over.
TEST_F(PeerClientTest, ProcessOfAnotherNodeAtItsAddressIsNotTakenForTheNode) {
  FakePeer stranger(loop_, {NodeName("stranger"), Incarnation{7}});
  knowNodeAt(stranger.endpoint());
  const ForwardReplyFrame reply = forward(RouteKind::AtMostOnce);
  EXPECT_EQ(reply.outcome, ForwardOutcome::NotRun);
  EXPECT_EQ(reply.reason, ForwardReason::ServerDown);
  EXPECT_TRUE(directory_.isUnreachable(node_));
  EXPECT_TRUE(peer_client_.connectedNodes().empty());
}

// The process that comes after the one that had the request can't know whether that one began it.
TEST_F(PeerClientTest, RestartedNodeCantSayThatARequestToItsEarlierLifeHasNotRun) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  knowNodeAt(peer.endpoint());
  std::optional<ForwardReplyFrame> reply;
  peer_client_.forward(node_, {}, [&reply](ForwardReplyFrame told) { reply = std::move(told); });
  ASSERT_TRUE(loop_.runUntil([&] { return peer.forwards == 1; }, kTestCap));
  peer.restartAs({node_, Incarnation{8}});
  ASSERT_TRUE(loop_.runUntil([&] { return reply.has_value(); }, kTestCap));
  EXPECT_EQ(reply->outcome, ForwardOutcome::Unknown);
  EXPECT_EQ(reply->reason, ForwardReason::ConnectionLost);
}

TEST_F(PeerClientTest, SameLifeOfANodeSaysThatARequestHasNotRun) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  knowNodeAt(peer.endpoint());
  std::optional<ForwardReplyFrame> reply;
  peer_client_.forward(node_, {}, [&reply](ForwardReplyFrame told) { reply = std::move(told); });
  ASSERT_TRUE(loop_.runUntil([&] { return peer.forwards == 1; }, kTestCap));
  peer.restartAs({node_, Incarnation{7}});
  ASSERT_TRUE(loop_.runUntil([&] { return reply.has_value(); }, kTestCap));
  EXPECT_EQ(reply->outcome, ForwardOutcome::NotRun);
  EXPECT_EQ(peer.settles, 1U);
}

TEST_F(PeerClientTest, RequestToAnUnknownNodeHasNotRun) {
  EXPECT_EQ(forward(RouteKind::AtMostOnce).outcome, ForwardOutcome::NotRun);
}

}  // namespace
}  // namespace shedlever::test
