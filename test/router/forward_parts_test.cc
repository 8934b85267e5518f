/// @file
/// Large requests over a limited link are sent in parts. Guards against calls and cancellations that wait behind large
/// requests, and against requests that run although they are reported as not run.

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "source/lab/sim/simulated_cluster.h"
#include "source/net/router_codec.h"
#include "source/net/system_clock_and_random.h"
#include "source/net/tcp_listener.h"
#include "source/router/peer_client.h"
#include "test/support/fake_peer.h"
#include "test/support/peer_events.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

/// Takes the link a good part of a second, so that it has not been sent when the next frames are.
constexpr std::size_t kUploadBytes = 600'000;
/// 10 Mbit/s.
constexpr double kNarrow = 1'250'000;

LinkConfig linkOf(double bytes_per_second) {
  LinkConfig config;
  config.bytes_per_second = bytes_per_second;
  return config;
}

class ForwardPartsTest : public ::testing::Test {
 protected:
  ForwardPartsTest() : directory_(NodeName("self"), ZoneName("z"), {}, random_) {
    peer_.on_forward = [this](const ForwardFrame& frame) {
      arrived_.push_back(frame);
      ForwardReplyFrame reply;
      reply.outcome = ForwardOutcome::Answered;
      reply.load = {1, 0, 10};
      reply.load.link_kbytes_per_s = stated_kbytes_per_s_;
      return std::optional(reply);
    };
  }

  /// Opens a stream of this version to the peer over an own link of this bandwidth.
  void connect(WireVersion version, double bytes_per_second) {
    open(peer_.endpoint(), version, bytes_per_second);
    ExchangeId exchange = 0;
    const auto reply = forward(0, exchange);
    ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kTestTimeout));
    directory_.onReply(node_, "r", **reply, clock_.now());
    arrived_.clear();
  }

  /// The node states the bandwidth of its link in a reply.
  void stateLink(std::uint32_t kbytes_per_s) {
    ForwardReplyFrame reply;
    reply.load = {1, 0, 10};
    reply.load.link_kbytes_per_s = kbytes_per_s;
    directory_.onReply(node_, "r", reply, clock_.now());
  }

  void open(const Endpoint& peer, WireVersion version, double bytes_per_second) {
    pacer_.emplace(loop_, clock_, linkOf(bytes_per_second));
    peer_client_.emplace(loop_, clock_, NodeIdentity{NodeName("self"), Incarnation{1}}, directory_,
                         ignoringPeerEvents(), &*pacer_);
    NodeRecord record;
    record.wire_version = version;
    record.node = node_;
    record.peer = peer;
    record.service = ServiceName("s");
    record.instance = InstanceId("i-1");
    directory_.update(record);
  }

  std::shared_ptr<std::optional<ForwardReplyFrame>> forward(std::size_t body_bytes, ExchangeId& exchange) {
    ForwardFrame frame;
    frame.kind = RouteKind::AtMostOnce;
    frame.http.body = std::string(body_bytes, 'x');
    frame.remaining_us = Duration(std::chrono::seconds(20)).count();
    auto reply = std::make_shared<std::optional<ForwardReplyFrame>>();
    exchange = peer_client_->forward(node_, frame, [reply](const ForwardReplyFrame& received) { *reply = received; });
    return reply;
  }

  bool runUntilArrived(std::size_t requests) {
    return loop_.runUntil([&] { return arrived_.size() == requests; }, kTestTimeout);
  }

  const NodeName node_{"other"};
  EventLoop loop_;
  BootTimeClock clock_;
  sim::SeededRandom random_{1};
  ServerDirectory directory_;
  FakePeer peer_{loop_, {node_, Incarnation{7}}};
  /// Requests that have completely arrived at the peer.
  std::vector<ForwardFrame> arrived_;
  std::uint32_t stated_kbytes_per_s_ = 0;
  std::optional<LinkPacer> pacer_;
  std::optional<PeerClient> peer_client_;
  ExchangeId upload_ = 0;
  ExchangeId call_ = 0;
};

TEST_F(ForwardPartsTest, CallPassesTheUploadThatWasSentBefore) {
  connect(kNewestWireVersion, kNarrow);
  const auto upload_reply = forward(kUploadBytes, upload_);
  forward(100, call_);
  EXPECT_GT(peer_client_->queuedRequestBytes(), kUploadBytes / 2);
  ASSERT_TRUE(runUntilArrived(2));
  EXPECT_EQ(peer_client_->queuedRequestBytes(), 0U);
  EXPECT_EQ(arrived_[0].exchange, call_);
  EXPECT_EQ(arrived_[1].exchange, upload_);
  EXPECT_EQ(arrived_[1].http.body, std::string(kUploadBytes, 'x'));
  EXPECT_GT(peer_.received_parts, 1U);
  EXPECT_TRUE(loop_.runUntil([&] { return upload_reply->has_value(); }, kTestTimeout));
}

TEST_F(ForwardPartsTest, UploadsOnOneStreamArriveOneAfterTheOther) {
  connect(kNewestWireVersion, kNarrow);
  forward(kUploadBytes, upload_);
  ExchangeId second = 0;
  forward(kMinPacedMessageBytes, second);
  ASSERT_TRUE(runUntilArrived(2));
  EXPECT_EQ(arrived_[0].exchange, upload_);
  EXPECT_EQ(arrived_[1].exchange, second);
}

// Guards against a server that gets the time that the upload has already spent waiting at its sender.
TEST_F(ForwardPartsTest, TimeBeforeTheFirstPartIsTakenFromTheRemainingTime) {
  connect(kNewestWireVersion, kNarrow);
  forward(kUploadBytes, upload_);
  ExchangeId second = 0;
  forward(kMinPacedMessageBytes, second);
  ASSERT_TRUE(runUntilArrived(2));
  EXPECT_LT(arrived_[1].remaining_us, arrived_[0].remaining_us);
  EXPECT_GT(arrived_[1].elapsed_us, arrived_[0].elapsed_us);
  EXPECT_GT(arrived_[1].sent_at_us, arrived_[0].sent_at_us);
}

// The peer's link may be the narrow one.
TEST_F(ForwardPartsTest, UploadToANodeThatStatesALimitedLinkIsSentInParts) {
  stated_kbytes_per_s_ = 1250;
  connect(kNewestWireVersion, 0);
  forward(kUploadBytes, upload_);
  ASSERT_TRUE(runUntilArrived(1));
  EXPECT_GT(peer_.received_parts, 1U);
}

TEST_F(ForwardPartsTest, UploadIsSentWholeToEarlierVersionsAndWhereNoLinkIsLimited) {
  connect(kNewestWireVersion, 0);
  forward(kUploadBytes, upload_);
  ASSERT_TRUE(runUntilArrived(1));
  EXPECT_EQ(peer_.received_parts, 0U);
  peer_client_.reset();
  connect(kRequestPartsWireVersion - 1, kNarrow);
  forward(kUploadBytes, upload_);
  ASSERT_TRUE(runUntilArrived(1));
  EXPECT_EQ(peer_.received_parts, 0U);
}

// A client that has gone must not fill the link with the rest of its upload.
TEST_F(ForwardPartsTest, CancelledUploadStopsAndItsCancellationDoesNotWait) {
  connect(kNewestWireVersion, kNarrow);
  forward(kUploadBytes, upload_);
  ASSERT_TRUE(loop_.runUntil([this] { return peer_.received_parts > 0; }, kTestTimeout));
  peer_client_->cancel(upload_);
  EXPECT_EQ(pacer_->backlogBytes(), 0U);
  ASSERT_TRUE(loop_.runUntil([this] { return peer_.cancelled_requests == 1; }, kTestTimeout));
  forward(kMinPacedMessageBytes, call_);
  ASSERT_TRUE(runUntilArrived(1));
  EXPECT_EQ(arrived_[0].exchange, call_);
}

TEST_F(ForwardPartsTest, CancelledUploadOfWhichNothingWasSentSendsNothing) {
  connect(kNewestWireVersion, kNarrow);
  forward(kUploadBytes, upload_);
  ExchangeId second = 0;
  forward(kUploadBytes, second);
  peer_client_->cancel(second);
  ASSERT_TRUE(runUntilArrived(1));
  EXPECT_EQ(peer_.cancelled_requests, 0U);
}

TEST_F(ForwardPartsTest, UploadWhoseLastPartWasNotSentHasNotRunWhenTheStreamBreaks) {
  connect(kNewestWireVersion, kNarrow);
  const auto reply = forward(kUploadBytes, upload_);
  ASSERT_TRUE(loop_.runUntil([this] { return peer_.received_parts > 0; }, kTestTimeout));
  peer_.closeStream(0);
  ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kTestTimeout));
  EXPECT_EQ((*reply)->outcome, ForwardOutcome::NotRun);
  EXPECT_EQ(peer_.exchange_queries, 0U);
  EXPECT_TRUE(arrived_.empty());
}

// The last part may have arrived, so that the peer is asked.
TEST_F(ForwardPartsTest, OutcomeOfUploadWhoseLastPartWasSentIsQueriedWhenTheStreamBreaks) {
  connect(kNewestWireVersion, kNarrow);
  peer_.on_forward = [this](const ForwardFrame& frame) {
    arrived_.push_back(frame);
    return std::optional<ForwardReplyFrame>();
  };
  const auto reply = forward(kUploadBytes, upload_);
  ASSERT_TRUE(runUntilArrived(1));
  peer_.exchange_state = ExchangeState::Answered;
  peer_.closeStream(0);
  ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kTestTimeout));
  EXPECT_EQ((*reply)->outcome, ForwardOutcome::Unknown);
  EXPECT_EQ(peer_.exchange_queries, 1U);
}

// A peer that holds too many unfinished bytes refuses an upload before its last part.
TEST_F(ForwardPartsTest, RefusedUploadStops) {
  connect(kNewestWireVersion, kNarrow);
  peer_.refuse_parts = true;
  const auto reply = forward(kUploadBytes, upload_);
  ASSERT_TRUE(loop_.runUntil([&] { return reply->has_value(); }, kTestTimeout));
  EXPECT_EQ((*reply)->outcome, ForwardOutcome::NotRun);
  EXPECT_EQ(pacer_->backlogBytes(), 0U);
  ASSERT_TRUE(loop_.runUntil([this] { return peer_.cancelled_requests == 1; }, kTestTimeout));
  EXPECT_TRUE(arrived_.empty());
}

// A node that takes nothing from its connection must not fill the memory of those that send to it.
TEST_F(ForwardPartsTest, OnlyALimitedNumberOfBytesIsSentAheadOfAcknowledgements) {
  constexpr std::size_t kMaxAhead = 64U << 10U;
  // Together more than the buffers of a connection take.
  constexpr std::size_t kLargeUploadBytes = 5U << 20U;
  constexpr int kUploads = 6;
  evutil_socket_t unread = -1;
  const auto accept = [&](evutil_socket_t socket, const Endpoint&) {
    unread = socket;
    const std::string hello = encodeRouterFrame(HelloFrame{node_, Incarnation{7}, false, {}}, kNewestWireVersion);
    const std::string bytes = std::string{static_cast<char>(hello.size()), 0, 0, 0} + hello;
    EXPECT_EQ(::send(socket, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
  };
  auto listener = TcpListener::open(loop_, kAnyLoopbackPort, accept);
  open(listener.value()->endpoint(), kNewestWireVersion, 0);
  peer_client_->ensureConnected(node_);
  ASSERT_TRUE(loop_.runUntil([this] { return !peer_client_->connectedNodes().empty(); }, kTestTimeout));
  stateLink(1250);
  for (int i = 0; i < kUploads; ++i) {
    forward(kLargeUploadBytes, upload_);
  }
  std::uint64_t most = 0;
  loop_.runUntil(
      [&] {
        most = std::max(most, peer_client_->unacknowledgedBytes(node_));
        return false;
      },
      std::chrono::milliseconds(500));
  EXPECT_GT(most, 0U);
  EXPECT_LE(most, kMaxAhead);
  evutil_closesocket(unread);
}

}  // namespace
}  // namespace shedlever::test
