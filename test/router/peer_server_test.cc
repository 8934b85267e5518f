/// @file
/// Tests what a process reports about the outcomes of requests whose streams have ended.

#include "source/router/peer_server.h"

#include <fcntl.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/server_protocol.h"
#include "shedlever/load_report.h"
#include "source/net/system_clock_and_random.h"
#include "source/router/peer_stream_options.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr ExchangeId kExchange = 1;
/// Longer than the time for which a process keeps a request or a reply whose stream has ended.
constexpr Duration kLongerThanOrphansAreKept = milliseconds(1300);

/// A gateway's end of a stream to the tested process.
class GatewayStream final : public MessageStreamCallbacks {
 public:
  GatewayStream(EventLoop& loop, const Endpoint& to, const NodeName& peer, WireVersion version = kUnstatedWireVersion)
      : version_(version), transport_(loop, to, peerStreamOptions(version), *this) {
    send(HelloFrame{NodeName("gateway"), kIncarnation, false, peer});
  }

  void send(const RouterFrame& frame) { transport_.send(encodeRouterFrame(frame, version_)); }
  void query(ExchangeId exchange) { send(ExchangeQueryFrame{exchange, kIncarnation}); }

  /// State in the last reply to an exchange query.
  std::optional<ExchangeState> state;
  std::optional<ForwardReplyFrame> reply;

 private:
  static constexpr Incarnation kIncarnation{1};

  void onMessage(std::string_view message) override {
    const RouterFrame frame = decodeRouterFrame(message, version_).value();
    if (const auto* query_reply = std::get_if<ExchangeQueryReplyFrame>(&frame)) {
      state = query_reply->state;
    } else if (const auto* forward_reply = std::get_if<ForwardReplyFrame>(&frame)) {
      reply = *forward_reply;
    }
  }
  void onClosed() override {}

  WireVersion version_;
  MessageStream transport_;
};

class PeerServerTest : public ::testing::Test {
 protected:
  PeerServerTest()
      : log_(loop_, clock_, open("/dev/null", O_WRONLY | O_CLOEXEC)),
        server_(loop_, [this](ScriptedConnection& connection) { running_ = &connection; }),
        gate_(clock_, queue_, server_client_, {[](double) { return Duration::zero(); }}, recorder_, gateEvents()) {
    gate_.serverUp(InstanceId("i-1"), 10);
    PeerServer::Ports ports;
    ports.self = {node_, Incarnation{7}};
    ports.gate = &gate_;
    ports.pacer = &pacer_;
    ports.known_revisions = [] { return KnownRevisions{}; };
    ports.needs_snapshot = [] { return false; };
    ports.server_crashes = [] { return ServerCrashesFrame{}; };
    ports.on_placement_plan = [this](const NodeName& sender, const PlacementPlanFrame& plan) {
      plan_senders_.push_back(sender);
      plans_.push_back(plan.plan);
    };
    peers_ = std::move(PeerServer::listen(loop_, kAnyLoopbackPort, std::move(ports)).value());
    connect();
  }

  static GateEvents gateEvents() {
    GateEvents events;
    events.server_gone = [] {};
    events.silence_changed = [](bool) {};
    events.server_crashed = [](const InstanceId&, const std::vector<RequestFingerprint>&) {};
    events.served = [](const RequestFingerprint&) {};
    return events;
  }

  void connect() { gateway_ = std::make_unique<GatewayStream>(loop_, peers_->endpoint(), node_); }

  /// Sends a request that may run at most once, and waits until the server runs it.
  void startRequest() {
    ForwardFrame frame;
    frame.exchange = kExchange;
    frame.id = RequestId("0123456789abcdef");
    frame.instance = InstanceId("i-1");
    frame.kind = RouteKind::AtMostOnce;
    frame.remaining_us = Duration(std::chrono::seconds(10)).count();
    frame.target_us = Duration(std::chrono::seconds(10)).count();
    frame.http = {"GET", "/x", {}, {}};
    gateway_->send(frame);
    ASSERT_TRUE(loop_.runUntil([this] { return running_ != nullptr; }, kTestTimeout));
  }

  void runFor(Duration duration) {
    loop_.runUntil([] { return false; }, duration);
  }

  /// Queries the outcome on the current stream. @return the reported state; none if the reply itself was sent.
  std::optional<ExchangeState> queryOutcome() {
    gateway_->query(kExchange);
    EXPECT_TRUE(
        loop_.runUntil([this] { return gateway_->state.has_value() || gateway_->reply.has_value(); }, kTestTimeout));
    return gateway_->state;
  }

  const NodeName node_{"node"};
  EventLoop loop_;
  BootTimeClock clock_;
  EventLog log_;
  RouterMetrics metrics_;
  GateRecorder recorder_{log_, metrics_};
  QueueConfig queue_;
  platform::ServerProtocolImpl protocol_;
  ScriptedConnection* running_ = nullptr;
  ScriptedServer server_;
  ServerClient server_client_{loop_, server_.endpoint(), protocol_};
  LinkPacer pacer_{loop_, clock_, {}};
  ServerGate gate_;
  std::unique_ptr<PeerServer> peers_;
  std::unique_ptr<GatewayStream> gateway_;
  std::vector<NodeName> plan_senders_;
  std::vector<std::uint64_t> plans_;
};

TEST_F(PeerServerTest, PlanIsPassedOnAndAnsweredWithTheLoadOfTheServer) {
  gateway_ = std::make_unique<GatewayStream>(loop_, peers_->endpoint(), node_, kNewestWireVersion);
  gateway_->send(PlacementPlanFrame{ServiceName("s"), InstanceId("i-1"), 5, {}});
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_->reply.has_value(); }, kTestTimeout));
  EXPECT_EQ(gateway_->reply->exchange, kLoadReportExchange);
  EXPECT_EQ(gateway_->reply->load.slots, 10U);
  EXPECT_EQ(plan_senders_, std::vector{NodeName("gateway")});
  EXPECT_EQ(plans_, std::vector<std::uint64_t>{5});
}

// The gateway would send the request to another server although it runs here.
TEST_F(PeerServerTest, OutcomeOfRequestGivenUpAfterItsStreamEndedIsNotReportedAsNotStarted) {
  startRequest();
  gateway_.reset();
  runFor(kLongerThanOrphansAreKept);
  ASSERT_EQ(server_.closedByPeer(), 0U) << "the server must still run the request";
  connect();
  EXPECT_NE(queryOutcome(), ExchangeState::NotStarted);
}

// The reply is made while the request has no stream, and expires before the gateway queries the outcome.
TEST_F(PeerServerTest, OutcomeOfRequestWhoseReplyExpiredIsNotReportedAsNotStarted) {
  startRequest();
  gateway_.reset();
  runFor(milliseconds(100));
  running_->write(httpResponseText(200, "", "done"));
  runFor(kLongerThanOrphansAreKept);
  connect();
  EXPECT_NE(queryOutcome(), ExchangeState::NotStarted);
}

// The gateway repeats its query if the stream that carried the first one has broken.
TEST_F(PeerServerTest, OutcomeOfRequestWhoseRetainedReplyWasSentIsNotReportedAsNotStarted) {
  startRequest();
  gateway_.reset();
  runFor(milliseconds(100));
  running_->write(httpResponseText(200, "", "done"));
  runFor(milliseconds(100));
  connect();
  EXPECT_EQ(queryOutcome(), std::nullopt);
  connect();
  EXPECT_EQ(queryOutcome(), ExchangeState::Answered);
}

}  // namespace
}  // namespace shedlever::test
