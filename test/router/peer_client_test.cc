/// @file
/// Tests the outcomes of requests whose node stops responding or becomes unreachable.

#include "source/router/peer_client.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "source/lab/sim/simulated_cluster.h"
#include "source/net/router_codec.h"
#include "source/net/system_clock_and_random.h"
#include "test/support/fake_peer.h"
#include "test/support/peer_events.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

class PeerClientTest : public ::testing::Test {
 protected:
  PeerClientTest()
      : directory_(NodeName("self"), ZoneName("z"), {}, random_),
        peer_client_(loop_, clock_, {NodeName("self"), Incarnation{1}}, directory_, events()) {}

  PeerClient::Events events() {
    PeerClient::Events events = ignoringPeerEvents();
    events.on_silent_requests = [this](const std::vector<ExchangeId>& exchanges) {
      silent_requests_.insert(silent_requests_.end(), exchanges.begin(), exchanges.end());
    };
    events.on_behind = [this](const NodeName& node, Duration) { behind_.push_back(node); };
    events.on_stream_failure = [this](const PeerStreamFailure& failure) { failures_.push_back(failure); };
    events.on_sent = [this](const RouterFrame& frame, std::size_t bytes) { sent_bytes_[frameName(frame)] += bytes; };
    events.on_identified = [this](const NodeIdentity& process) { identified_.push_back(process); };
    return events;
  }

  /// @param stated newest version that the record states; 0 for none.
  void addNodeAt(const Endpoint& endpoint, WireVersion stated = 0) {
    NodeRecord record;
    record.wire_version = stated;
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

  /// Forwards a request without waiting for its reply.
  /// @return the reply, filled in while the loop runs.
  std::shared_ptr<std::optional<ForwardReplyFrame>> startForward(RouteKind kind, std::string body = {}) {
    ForwardFrame frame;
    frame.kind = kind;
    frame.http.body = std::move(body);
    frame.remaining_us = Duration(std::chrono::seconds(20)).count();
    auto reply = std::make_shared<std::optional<ForwardReplyFrame>>();
    peer_client_.forward(node_, frame, [reply](ForwardReplyFrame received) { *reply = std::move(received); });
    return reply;
  }

  /// Lets the peer answer one request, so that its stream is up.
  void connectTo(FakePeer& peer) {
    peer.on_forward = [](const ForwardFrame&) {
      ForwardReplyFrame reply;
      reply.outcome = ForwardOutcome::Answered;
      return std::optional(reply);
    };
    addNodeAt(peer.endpoint());
    EXPECT_EQ(forward(RouteKind::Idempotent).outcome, ForwardOutcome::Answered);
  }

  bool runUntilUnreachable() {
    return loop_.runUntil([this] { return directory_.isUnreachable(node_); }, kTestTimeout);
  }

  bool runUntilReachable() {
    return loop_.runUntil([this] { return !directory_.isUnreachable(node_); }, kTestTimeout);
  }

  void runFor(Duration duration) {
    loop_.runUntil([] { return false; }, duration);
  }

  /// Far more than a query of an outcome takes.
  static constexpr Duration kOutcomeWait = std::chrono::seconds(5);

  const NodeName node_{"other"};
  std::vector<NodeIdentity> identified_;
  EventLoop loop_;
  BootTimeClock clock_;
  sim::SeededRandom random_{1};
  ServerDirectory directory_;
  std::vector<PeerStreamFailure> failures_;
  std::vector<ExchangeId> silent_requests_;
  std::vector<NodeName> behind_;
  /// Bytes passed to streams, by kind of frame.
  std::map<std::string, std::size_t> sent_bytes_;
  PeerClient peer_client_;
};

// A process of an earlier build closes streams of a version that it does not know; the request must reach it all the
// same.
TEST_F(PeerClientTest, RequestToPeerOfAnEarlierVersionIsAnsweredAfterOneMoreConnection) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  peer.speakOnly(5);
  connectTo(peer);
  EXPECT_EQ(peer.acceptedStreams(), 2U);
  EXPECT_EQ(peer.forwarded_requests, 1U);
  EXPECT_EQ(peer_client_.versionOf(node_), 5);
  EXPECT_FALSE(directory_.isUnreachable(node_));
}

TEST_F(PeerClientTest, StatedVersionIsSpokenWithoutFurtherConnections) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  addNodeAt(peer.endpoint(), kNewestWireVersion);
  peer.on_forward = [](const ForwardFrame&) { return std::optional(ForwardReplyFrame{}); };
  forward(RouteKind::Idempotent);
  EXPECT_EQ(peer.acceptedStreams(), 1U);
  EXPECT_EQ(peer_client_.versionOf(node_), kNewestWireVersion);
}

// The node's record is that of a later build which an earlier one has replaced.
TEST_F(PeerClientTest, RequestReachesAnEarlierBuildBehindARecordOfALaterOne) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  peer.speakOnly(6);
  addNodeAt(peer.endpoint(), kNewestWireVersion);
  peer.on_forward = [](const ForwardFrame&) { return std::optional(ForwardReplyFrame{}); };
  forward(RouteKind::AtMostOnce);
  EXPECT_EQ(peer.forwarded_requests, 1U);
  EXPECT_EQ(peer_client_.versionOf(node_), 6);
}

// Nothing is sent before the peer is known to understand it, so that the request has not run.
TEST_F(PeerClientTest, RequestThatWaitsForTheHelloIsReportedAsNotRun) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  peer.speakOnly(4);
  addNodeAt(peer.endpoint());
  EXPECT_EQ(forward(RouteKind::AtMostOnce).outcome, ForwardOutcome::NotRun);
  EXPECT_EQ(peer.forwarded_requests, 0U);
  EXPECT_EQ(peer.acceptedStreams(), 2U);
}

// Guards against a planner that knows only the loads of the servers to which its own gateway has sent requests.
TEST_F(PeerClientTest, AnswerToAPlanUpdatesTheLoadOfTheNodesServer) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  peer.load.slots = 6;
  peer.load.demand_hundredths = 450;
  addNodeAt(peer.endpoint(), kNewestWireVersion);
  peer_client_.ensureConnected(node_);
  peer_client_.send(node_, PlacementPlanFrame{ServiceName("s"), InstanceId("i-1"), 1, {}});
  const auto is_known = [this] { return directory_.load(node_, clock_.now()) != nullptr; };
  ASSERT_TRUE(loop_.runUntil(is_known, kTestTimeout));
  EXPECT_EQ(directory_.load(node_, clock_.now())->demand_hundredths, 450U);
  EXPECT_TRUE(directory_.isConfirmedReachable(node_));
}

TEST_F(PeerClientTest, PlansAreNotSentToEarlierBuilds) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  peer.speakOnly(kExtensibleWireVersion);
  addNodeAt(peer.endpoint(), kExtensibleWireVersion);
  peer_client_.send(node_, PlacementPlanFrame{ServiceName("s"), InstanceId("i-1"), 1, {}});
  peer.on_forward = [](const ForwardFrame&) { return std::optional(ForwardReplyFrame{}); };
  forward(RouteKind::Idempotent);
  EXPECT_EQ(peer.placement_plans, 0U);
}

/// A node that accepts connections and reads nothing.
class DeadNodeTest : public PeerClientTest, public ::testing::WithParamInterface<RouteKind> {
 protected:
  ~DeadNodeTest() override {
    for (const evutil_socket_t socket : unread_sockets_) {
      evutil_closesocket(socket);
    }
  }

  /// Answers the hello that has not been read.
  static void sendHello(evutil_socket_t socket, const NodeName& node) {
    const std::string hello = encodeRouterFrame(HelloFrame{node, Incarnation{7}, false, {}});
    const std::string length = {static_cast<char>(hello.size()), 0, 0, 0};
    const std::string bytes = length + hello;
    EXPECT_EQ(::send(socket, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
  }

  static constexpr std::size_t kMoreThanSocketBuffers = 32U << 20U;
  std::vector<evutil_socket_t> unread_sockets_;
};

// A node that loses power closes no connections and acknowledges nothing; its requests must not wait for their
// deadlines. The node is simulated by a receiver that reads nothing, whose window is closed by a large request.
TEST_P(DeadNodeTest, RequestToNodeThatAcknowledgesNothingFinishesEarly) {
  const auto accept = [this](evutil_socket_t socket, const Endpoint&) {
    unread_sockets_.push_back(socket);
    // The node loses power after its hello on the first connection.
    if (unread_sockets_.size() == 1) {
      sendHello(socket, node_);
    }
  };
  auto listener = TcpListener::open(loop_, kAnyLoopbackPort, accept);
  addNodeAt(listener.value()->endpoint());
  const auto written = startForward(GetParam());
  const auto unwritten = startForward(GetParam(), std::string(kMoreThanSocketBuffers, 'x'));
  ASSERT_TRUE(loop_.runUntil([&] { return written->has_value() && unwritten->has_value(); }, kTestTimeout));
  EXPECT_EQ((*written)->outcome, ForwardOutcome::Unknown);
  EXPECT_EQ((*written)->reason, ForwardReason::ConnectionLost);
  EXPECT_EQ((*unwritten)->outcome, ForwardOutcome::NotRun);
  EXPECT_TRUE(directory_.isUnreachable(node_));
}

// Without a hello nothing was sent, so that both requests have certainly not run.
TEST_P(DeadNodeTest, RequestToNodeThatSendsNoHelloFinishesEarlyAsNotRun) {
  const auto accept = [this](evutil_socket_t socket, const Endpoint&) { unread_sockets_.push_back(socket); };
  auto listener = TcpListener::open(loop_, kAnyLoopbackPort, accept);
  addNodeAt(listener.value()->endpoint());
  const auto small = startForward(GetParam());
  const auto large = startForward(GetParam(), std::string(kMoreThanSocketBuffers, 'x'));
  ASSERT_TRUE(loop_.runUntil([&] { return small->has_value() && large->has_value(); }, kTestTimeout));
  EXPECT_EQ((*small)->outcome, ForwardOutcome::NotRun);
  EXPECT_EQ((*large)->outcome, ForwardOutcome::NotRun);
  EXPECT_TRUE(directory_.isUnreachable(node_));
}

INSTANTIATE_TEST_SUITE_P(RepeatableOrNot, DeadNodeTest,
                         ::testing::Values(RouteKind::Idempotent, RouteKind::AtMostOnce));

TEST_F(PeerClientTest, StreamIdentifiesTheIncarnationOfItsPeer) {
  const NodeIdentity process{node_, Incarnation{7}};
  FakePeer peer(loop_, process);
  addNodeAt(peer.endpoint());
  peer_client_.ensureConnected(node_);
  ASSERT_TRUE(loop_.runUntil([this] { return !identified_.empty(); }, kTestTimeout));
  EXPECT_EQ(identified_, std::vector<NodeIdentity>{process});
}

// New requests must not be sent to a node whose process has stopped responding.
TEST_F(PeerClientTest, NodeThatNeverRespondsIsMarkedUnreachableAndItsRequestsReported) {
  ScriptedServer silent(loop_, [](ScriptedConnection&) {});
  addNodeAt(silent.endpoint());
  const auto reply = startForward(RouteKind::Idempotent);
  ASSERT_TRUE(runUntilUnreachable());
  ASSERT_TRUE(loop_.runUntil([this] { return !silent_requests_.empty(); }, kTestTimeout));
  EXPECT_EQ(silent_requests_.size(), 1U);
  EXPECT_FALSE(reply->has_value());
}

// Guards against new requests to a stalled node until it counts as silent.
TEST_F(PeerClientTest, PeerThatStopsRespondingIsBehindBeforeItIsSilentAndKeepsItsStream) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  connectTo(peer);
  peer.hold();
  const auto reply = startForward(RouteKind::Idempotent);
  ASSERT_TRUE(loop_.runUntil([this] { return directory_.isBehind(node_, clock_.now()); }, kTestTimeout));
  EXPECT_FALSE(directory_.isUnreachable(node_));
  EXPECT_EQ(peer.acceptedStreams(), 1U);
  EXPECT_EQ(behind_, std::vector<NodeName>{node_});
  peer.release();
  ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kTestTimeout));
  EXPECT_FALSE(directory_.isBehind(node_, clock_.now() + std::chrono::seconds(1))) << "ends by itself";
  EXPECT_TRUE(failures_.empty());
}

TEST_F(PeerClientTest, PeerWhoseRepliesArriveLateIsBehind) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  Duration stated = std::chrono::hours(9);
  peer.on_forward = [&stated](const ForwardFrame&) {
    ForwardReplyFrame reply;
    reply.sent_at_us = stated.count();
    return std::optional(reply);
  };
  addNodeAt(peer.endpoint(), kNewestWireVersion);
  forward(RouteKind::Idempotent);
  EXPECT_FALSE(directory_.isBehind(node_, clock_.now()));
  stated -= std::chrono::seconds(30);
  forward(RouteKind::Idempotent);
  EXPECT_TRUE(directory_.isBehind(node_, clock_.now()));
}

// The logs must show that a peer fell silent while requests waited for it.
TEST_F(PeerClientTest, SilentPeerIsReportedWithItsWaitingRequests) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  connectTo(peer);
  peer.hold();
  const auto first = startForward(RouteKind::Idempotent);
  const auto second = startForward(RouteKind::AtMostOnce);
  ASSERT_TRUE(runUntilUnreachable());
  ASSERT_FALSE(failures_.empty());
  EXPECT_EQ(failures_.front().node, node_);
  EXPECT_TRUE(failures_.front().silent);
  EXPECT_EQ(failures_.front().waiting_requests, 2U);
}

// Frames may be delayed for seconds by a busy link. Their requests run nevertheless, so an error that the router made
// up meanwhile would replace the server's answer.
TEST_F(PeerClientTest, RequestToTemporarilySilentPeerGetsItsReply) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  connectTo(peer);
  peer.hold();
  const auto reply = startForward(RouteKind::Idempotent);
  ASSERT_TRUE(runUntilUnreachable());
  peer.exchange_state = ExchangeState::Pending;
  peer.release();
  ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kTestTimeout));
  EXPECT_EQ((*reply)->outcome, ForwardOutcome::Answered);
  EXPECT_TRUE(loop_.runUntil([this] { return !directory_.isUnreachable(node_); }, kTestTimeout));
}

// The frames of a request that waits on a connection that stays silent for good must not run later.
TEST_F(PeerClientTest, RequestNotStartedAtSilentPeerIsReportedAsNotRun) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  connectTo(peer);
  peer.holdOpenStreams();
  const auto reply = startForward(RouteKind::AtMostOnce);
  ASSERT_TRUE(runUntilUnreachable());
  ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kTestTimeout));
  EXPECT_EQ((*reply)->outcome, ForwardOutcome::NotRun);
  EXPECT_EQ(peer.exchange_queries, 1U);
  EXPECT_EQ(peer.forwarded_requests, 1U);
}

// The reply is already on its way on the silent connection.
TEST_F(PeerClientTest, RequestAnsweredOnSilentStreamGetsItsReply) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  connectTo(peer);
  peer.exchange_state = ExchangeState::Answered;
  peer.holdOpenStreams();
  const auto reply = startForward(RouteKind::AtMostOnce);
  ASSERT_TRUE(runUntilUnreachable());
  ASSERT_TRUE(loop_.runUntil([&] { return peer.exchange_queries == 1; }, kTestTimeout));
  peer.release();
  ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kTestTimeout));
  EXPECT_EQ((*reply)->outcome, ForwardOutcome::Answered);
}

// A process that was started again can't run the requests of the one before.
TEST_F(PeerClientTest, RequestToSilentPeerThatRestartsHasUnknownOutcome) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  connectTo(peer);
  peer.hold();
  const auto reply = startForward(RouteKind::Idempotent);
  ASSERT_TRUE(runUntilUnreachable());
  peer.restartAs({node_, Incarnation{8}});
  peer.release();
  ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kTestTimeout));
  EXPECT_EQ((*reply)->outcome, ForwardOutcome::Unknown);
}

// Every stream that replaces a silent one must query the outcomes again, or the request waits until its deadline.
TEST_F(PeerClientTest, OutcomeIsQueriedAgainWhenTheSecondStreamFallsSilentAndBreaks) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  connectTo(peer);
  peer.exchange_state = ExchangeState::Pending;
  peer.holdOpenStreams();
  const auto reply = startForward(RouteKind::AtMostOnce);
  ASSERT_TRUE(runUntilUnreachable());
  ASSERT_TRUE(runUntilReachable());
  ASSERT_TRUE(loop_.runUntil([&] { return peer.exchange_queries == 1; }, kTestTimeout));
  peer.holdOpenStreams();
  ASSERT_TRUE(runUntilUnreachable());
  ASSERT_TRUE(runUntilReachable());
  peer.exchange_state = ExchangeState::NotStarted;
  peer.closeStream(1);
  EXPECT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kOutcomeWait));
  EXPECT_GE(peer.exchange_queries, 2U);
}

// Without a query, the request ends as unknown although the peer is reachable and its server may be at work on it.
TEST_F(PeerClientTest, OutcomeIsQueriedWhenASilentStreamBreaksAfterItsPeerResponded) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  connectTo(peer);
  peer.on_forward = nullptr;
  peer.hold();
  addNodeAt(closedEndpoint(loop_));
  const auto reply = startForward(RouteKind::AtMostOnce);
  ASSERT_TRUE(runUntilUnreachable());
  runFor(std::chrono::milliseconds(100));
  peer.release();
  ASSERT_TRUE(runUntilReachable());
  runFor(std::chrono::milliseconds(600));
  addNodeAt(peer.endpoint());
  peer.closeStream(0);
  ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kOutcomeWait));
  EXPECT_EQ(peer.exchange_queries, 1U);
  EXPECT_EQ((*reply)->outcome, ForwardOutcome::NotRun);
}

// The hello of a new stream may be delayed as long as the frames behind it.
TEST_F(PeerClientTest, OutcomeIsQueriedWhenASilentStreamBreaksWhoseHelloWasLate) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  addNodeAt(peer.endpoint());
  peer.hold();
  const auto reply = startForward(RouteKind::AtMostOnce);
  ASSERT_TRUE(runUntilUnreachable());
  runFor(std::chrono::milliseconds(100));
  peer.release();
  ASSERT_TRUE(runUntilReachable());
  runFor(std::chrono::milliseconds(100));
  peer.closeStream(0);
  EXPECT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kOutcomeWait));
  EXPECT_EQ(peer.exchange_queries, 1U);
}

// A cancellation that overtakes its request would leave the request running for nobody.
TEST_F(PeerClientTest, CancellationOfRequestAtSilentPeerArrivesAfterTheRequest) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  connectTo(peer);
  peer.on_forward = nullptr;
  peer.hold();
  const ExchangeId exchange = peer_client_.forward(node_, {}, [](const ForwardReplyFrame&) {});
  ASSERT_TRUE(runUntilUnreachable());
  peer_client_.cancel(exchange);
  peer.release();
  ASSERT_TRUE(loop_.runUntil([&] { return peer.cancelled_requests == 1; }, kTestTimeout));
  EXPECT_EQ(peer.forwarded_requests, 2U);
}

// A request that waits for the peer's hello is not on the way yet, and nobody waits for it after its cancellation.
TEST_F(PeerClientTest, RequestCancelledBeforeThePeersHelloIsNeverSent) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  peer.on_forward = [](const ForwardFrame&) { return std::optional(ForwardReplyFrame{}); };
  addNodeAt(peer.endpoint());
  const ExchangeId exchange = peer_client_.forward(node_, {}, [](const ForwardReplyFrame&) {});
  peer_client_.cancel(exchange);
  forward(RouteKind::Idempotent);
  EXPECT_EQ(peer.forwarded_requests, 1U);
  EXPECT_EQ(peer.cancelled_requests, 0U);
}

// Guards against a receiver that overestimates how much longer the client waits.
TEST_F(PeerClientTest, WaitForThePeersHelloIsTakenOffTheTimeOfARequest) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  peer.hold();
  std::optional<ForwardFrame> received;
  TimePoint arrived;
  peer.on_forward = [&](const ForwardFrame& frame) {
    received = frame;
    arrived = clock_.now();
    return std::optional(ForwardReplyFrame{});
  };
  addNodeAt(peer.endpoint(), kNewestWireVersion);
  const TimePoint asked = clock_.now();
  const auto reply = startForward(RouteKind::Idempotent);
  const TimePoint sent = clock_.now();
  ASSERT_TRUE(loop_.runUntil([&] { return peer.keptFrames() > 0; }, kTestTimeout));
  const TimePoint released = clock_.now();
  peer.release();
  ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kTestTimeout));
  const Duration::rep waited = received->elapsed_us;
  EXPECT_GE(waited, (released - sent).count());
  EXPECT_LE(waited, (arrived - asked).count());
  EXPECT_EQ(received->remaining_us, Duration(std::chrono::seconds(20)).count() - waited);
  EXPECT_GE(received->sent_at_us, released.time_since_epoch().count());
}

// Guards against outdated loads that count as current because their reply was delayed.
TEST_F(PeerClientTest, TimeOfSendingOfALateReplyIsTranslatedToTheOwnClock) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  const Duration peer_clock = std::chrono::hours(9);
  const Duration lateness = std::chrono::seconds(3);
  Duration stated = peer_clock;
  peer.on_forward = [&stated](const ForwardFrame&) {
    ForwardReplyFrame reply;
    reply.sent_at_us = stated.count();
    return std::optional(reply);
  };
  addNodeAt(peer.endpoint(), kNewestWireVersion);
  const TimePoint before = clock_.now();
  EXPECT_GE(forward(RouteKind::Idempotent).sent_at_us, before.time_since_epoch().count())
      << "the first one is not late";
  stated = peer_clock - lateness;
  const Duration sent_at(forward(RouteKind::Idempotent).sent_at_us);
  EXPECT_LE(sent_at, clock_.now().time_since_epoch() - lateness);
  EXPECT_GE(sent_at, before.time_since_epoch() - lateness);
}

TEST_F(PeerClientTest, ReplyThatStatesNoTimeOfSendingKeepsNone) {
  FakePeer peer(loop_, {node_, Incarnation{7}});
  peer.on_forward = [](const ForwardFrame&) { return std::optional(ForwardReplyFrame{}); };
  addNodeAt(peer.endpoint(), kNewestWireVersion);
  EXPECT_EQ(forward(RouteKind::Idempotent).sent_at_us, 0);
}

// Without the latency of replies in the reported staleness, peers that can't reach the store would keep each other
// from detecting that their state is stale.
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
  const auto reply = startForward(RouteKind::Idempotent);
  const TimePoint sent_before = clock_.now();
  ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kTestTimeout));
  ASSERT_TRUE(answered_at.has_value());
  const Duration::rep least_staleness = kReportedStalenessUs + (*answered_at - sent_before).count();
  EXPECT_GE((*reply)->known.config.staleness_us, least_staleness);
  EXPECT_GE((*reply)->known.nodes.staleness_us, least_staleness);
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
