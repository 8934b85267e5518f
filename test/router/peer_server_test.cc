/// @file
/// Tests what a process reports about the outcomes of requests whose streams have ended.

#include "source/router/peer_server.h"

#include <fcntl.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/http_names.h"
#include "platform/server_protocol.h"
#include "shedlever/load_report.h"
#include "source/net/system_clock_and_random.h"
#include "source/router/peer_stream_options.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr ExchangeId kExchange = 1;
/// More than is read from a socket at a time, and less than the kernel buffers at the receiving end.
constexpr std::size_t kSeveralReads = 40U << 10U;
/// More than the kernel buffers at both ends of a connection.
constexpr std::size_t kMoreThanSocketBuffers = 48U << 20U;
/// Longer than the time for which a process keeps a request or a reply whose stream has ended.
constexpr Duration kLongerThanOrphansAreKept = milliseconds(1300);

/// A gateway's end of a stream to the tested process.
class GatewayStream final : public MessageStreamCallbacks {
 public:
  GatewayStream(EventLoop& loop, const Endpoint& to, const NodeName& peer, WireVersion version = kNewestWireVersion)
      : version_(version), transport_(loop, to, peerStreamOptions(version), *this) {
    send(HelloFrame{NodeName("gateway"), kIncarnation, false, peer});
  }

  void send(const RouterFrame& frame) { transport_.send(encodeRouterFrame(frame, version_)); }
  void query(ExchangeId exchange) { send(ExchangeQueryFrame{exchange, kIncarnation}); }

  void sendInvalidMessage() { transport_.send("\xff"); }
  std::size_t unsentBytes() const { return transport_.unsentBytes(); }

  /// Whether the process has answered the hello.
  bool up = false;
  bool closed = false;
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
    } else if (std::holds_alternative<HelloFrame>(frame)) {
      up = true;
    }
  }
  void onClosed() override { closed = true; }

  WireVersion version_;
  MessageStream transport_;
};

class PeerServerTest : public ::testing::Test {
 protected:
  PeerServerTest()
      : log_(loop_, clock_, open("/dev/null", O_WRONLY | O_CLOEXEC)),
        server_(loop_,
                [this](ScriptedConnection& connection) {
                  running_ = &connection;
                  started_.insert(connection.received.substr(0, connection.received.find("\r\n")));
                }),
        gate_(clock_, queue_, server_client_, {[](double) { return Duration::zero(); }}, recorder_, gateEvents()) {
    gate_.serverUp(InstanceId("i-1"), 10);
    PeerServer::Ports ports;
    ports.self = {node_, Incarnation{7}};
    ports.clock = &clock_;
    ports.gate = &gate_;
    ports.pacer = &pacer_;
    ports.known_revisions = [] { return KnownRevisions{}; };
    ports.needs_snapshot = [this] { return needs_snapshot_; };
    ports.on_snapshot = [this](const ClusterSnapshotFrame&, TimePoint requested_at) {
      snapshot_requested_at_ = requested_at;
    };
    ports.server_crashes = [] { return ServerCrashesFrame{}; };
    ports.on_late_request = [this](const NodeName&, const ForwardFrame& frame, Duration lateness) {
      late_requests_.emplace_back(frame.exchange, lateness);
    };
    ports.on_placement_plan = [this](const NodeName& sender, const PlacementPlanFrame& plan) {
      plan_senders_.push_back(sender);
      plans_.push_back(plan.plan);
    };
    peers_ = std::move(PeerServer::listen(loop_, kAnyLoopbackPort, std::move(ports)).value());
    connect();
  }

  static GateEvents gateEvents() {
    GateEvents events;
    events.server_gone = [](RefusedCall) {};
    events.silence_changed = [](bool) {};
    events.server_crashed = [](const InstanceId&, const std::vector<RequestFingerprint>&) {};
    events.served = [](const RequestFingerprint&) {};
    return events;
  }

  void connect(WireVersion version = kNewestWireVersion) {
    gateway_ = std::make_unique<GatewayStream>(loop_, peers_->endpoint(), node_, version);
  }

  void connectAndAwaitHello() {
    connect();
    ASSERT_TRUE(loop_.runUntil([this] { return gateway_->up; }, kTestTimeout));
  }

  /// @return a request that may run at most once.
  static ForwardFrame request(ExchangeId exchange, const std::string& path, std::size_t body_bytes = 0) {
    ForwardFrame frame;
    frame.exchange = exchange;
    frame.id = RequestId("0123456789abcdef");
    frame.instance = InstanceId("i-1");
    frame.kind = RouteKind::AtMostOnce;
    frame.remaining_us = Duration(std::chrono::seconds(10)).count();
    frame.target_us = Duration(std::chrono::seconds(10)).count();
    frame.http = {"GET", path, {}, std::string(body_bytes, 'x')};
    return frame;
  }

  /// Runs until the server has received the head of the request.
  bool runUntilStarted(const std::string& path) {
    return loop_.runUntil([&] { return hasStarted(path); }, kTestTimeout);
  }
  bool hasStarted(const std::string& path) const { return started_.contains("GET " + path + " HTTP/1.1"); }

  /// @return the time that the last request's server has for it, in milliseconds.
  int deadlineMsAtServer() const {
    const std::string name = std::string(platform::kDeadlineHeader) + ": ";
    const std::size_t at = running_->received.rfind(name);
    EXPECT_NE(at, std::string::npos) << running_->received;
    return at == std::string::npos ? 0 : std::stoi(running_->received.substr(at + name.size()));
  }

  /// Sends half of a request, or its other half.
  void sendHalf(bool last) {
    const std::string bytes = encodeRouterFrame(request(kExchange, "/x"), kRequestPartsWireVersion);
    const std::size_t half = bytes.size() / 2;
    gateway_->send(ForwardPartFrame{kExchange, last ? bytes.substr(half) : bytes.substr(0, half), last});
  }

  /// Sends a request and waits until the server runs it.
  void startRequest() {
    gateway_->send(request(kExchange, "/x"));
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
  bool needs_snapshot_ = false;
  std::optional<TimePoint> snapshot_requested_at_;
  BootTimeClock clock_;
  EventLog log_;
  RouterMetrics metrics_;
  GateRecorder recorder_{log_, metrics_};
  QueueConfig queue_;
  platform::ServerProtocolImpl protocol_;
  ScriptedConnection* running_ = nullptr;
  /// First lines of the requests that the server has received.
  std::set<std::string> started_;
  /// Exchanges of the requests that were over when they arrived, and how late they were.
  std::vector<std::pair<ExchangeId, Duration>> late_requests_;
  ScriptedServer server_;
  ServerClient server_client_{loop_, {NodeName("node"), Incarnation{1}}, server_.endpoint(), protocol_};
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

// Guards against work for clients that left before their request arrived.
TEST_F(PeerServerTest, RequestWhoseCancellationHasArrivedIsNotStarted) {
  connectAndAwaitHello();
  gateway_->send(request(1, "/cancelled"));
  gateway_->send(request(2, "/large", kSeveralReads));
  gateway_->send(CancelForwardFrame{1});
  gateway_->send(request(3, "/last"));
  ASSERT_TRUE(runUntilStarted("/last"));
  ASSERT_TRUE(runUntilStarted("/large"));
  EXPECT_FALSE(hasStarted("/cancelled"));
}

// Guards against requests that wait for the rest of a large message behind them.
TEST_F(PeerServerTest, RequestStartsWhileTheMessageBehindItIsStillArriving) {
  connectAndAwaitHello();
  gateway_->send(request(1, "/first"));
  gateway_->send(request(2, "/large", kMoreThanSocketBuffers));
  ASSERT_TRUE(runUntilStarted("/first"));
  EXPECT_GT(gateway_->unsentBytes(), 0U);
}

// The gateway sends a request that has not begun to another server, so it must not begin here afterwards.
TEST_F(PeerServerTest, RequestWhoseStreamEndsBeforeItBeginsIsReportedAsNotStartedAndNeverStarts) {
  connectAndAwaitHello();
  gateway_->send(request(kExchange, "/lost"));
  gateway_->send(request(kExchange + 1, "/large", kSeveralReads));
  gateway_->sendInvalidMessage();
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_->closed; }, kTestTimeout));
  connect();
  EXPECT_EQ(queryOutcome(), ExchangeState::NotStarted);
  EXPECT_FALSE(hasStarted("/lost"));
}

// Guards against work for clients that got their final answer while the request was on the way.
TEST_F(PeerServerTest, RequestThatWasOverWhenItArrivedIsAnsweredAsNotRunAndNotStarted) {
  connectAndAwaitHello();
  const Duration sender_clock = std::chrono::hours(9);
  ForwardFrame punctual = request(1, "/punctual");
  punctual.sent_at_us = sender_clock.count();
  gateway_->send(punctual);
  ASSERT_TRUE(runUntilStarted("/punctual"));
  ForwardFrame late = request(2, "/late");
  late.sent_at_us = (sender_clock - std::chrono::seconds(3)).count();
  late.remaining_us = Duration(std::chrono::seconds(2)).count();
  gateway_->send(late);
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_->reply.has_value(); }, kTestTimeout));
  EXPECT_EQ(gateway_->reply->exchange, 2U);
  EXPECT_EQ(gateway_->reply->outcome, ForwardOutcome::NotRun);
  EXPECT_EQ(gateway_->reply->reason, ForwardReason::Overloaded);
  EXPECT_FALSE(gateway_->reply->reached_server);
  EXPECT_GE(gateway_->reply->retry_after_us, Duration(std::chrono::seconds(3)).count());
  EXPECT_EQ(gateway_->reply->load.slots, 10U);
  EXPECT_GT(gateway_->reply->load.arrival_delay_ms, 0U) << "other gateways are to know of the delay";
  ASSERT_EQ(late_requests_.size(), 1U);
  EXPECT_GE(late_requests_.front().second, std::chrono::seconds(3));
  EXPECT_FALSE(hasStarted("/late"));
}

// Guards against requests that wait at the gate for longer than their clients do.
TEST_F(PeerServerTest, TimeOnTheWayIsTakenOffTheTimeOfARequestThatIsNotOver) {
  connectAndAwaitHello();
  const Duration sender_clock = std::chrono::hours(9);
  ForwardFrame punctual = request(1, "/punctual");
  punctual.sent_at_us = sender_clock.count();
  gateway_->send(punctual);
  ASSERT_TRUE(runUntilStarted("/punctual"));
  ForwardFrame late = request(2, "/late");
  late.sent_at_us = (sender_clock - std::chrono::seconds(3)).count();
  gateway_->send(late);
  ASSERT_TRUE(runUntilStarted("/late"));
  EXPECT_LE(deadlineMsAtServer(), 7000);
  EXPECT_TRUE(late_requests_.empty());
}

// A stream that replaces a silent one is opened while the link is full: its own first frame is late already.
TEST_F(PeerServerTest, RequestThatIsOverIsNotStartedOnALaterStreamOfTheSameProcess) {
  connectAndAwaitHello();
  const Duration sender_clock = std::chrono::hours(9);
  ForwardFrame punctual = request(1, "/punctual");
  punctual.sent_at_us = sender_clock.count();
  gateway_->send(punctual);
  ASSERT_TRUE(runUntilStarted("/punctual"));
  const std::unique_ptr<GatewayStream> silent = std::move(gateway_);
  connectAndAwaitHello();
  ForwardFrame late = request(2, "/late");
  late.sent_at_us = (sender_clock - std::chrono::seconds(3)).count();
  late.remaining_us = Duration(std::chrono::seconds(2)).count();
  gateway_->send(late);
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_->reply.has_value(); }, kTestTimeout));
  EXPECT_EQ(gateway_->reply->outcome, ForwardOutcome::NotRun);
  EXPECT_FALSE(hasStarted("/late"));
}

// Without the time of sending, the gateway takes the load in a delayed reply for a current one.
TEST_F(PeerServerTest, ReplyStatesWhenItWasSent) {
  const TimePoint before = clock_.now();
  startRequest();
  running_->write(httpResponseText(200, "", "done"));
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_->reply.has_value(); }, kTestTimeout));
  EXPECT_GE(gateway_->reply->sent_at_us, before.time_since_epoch().count());
  EXPECT_LE(gateway_->reply->sent_at_us, clock_.now().time_since_epoch().count());
}

// A lease in a snapshot counted from the arrival of the snapshot, which a frozen peer or a full link may delay by
// seconds, and so outlasted the real one.
TEST_F(PeerServerTest, SnapshotCountsFromItsRequest) {
  needs_snapshot_ = true;
  connectAndAwaitHello();
  const TimePoint before_snapshot = clock_.now();
  gateway_->send(ClusterSnapshotFrame{});
  ASSERT_TRUE(loop_.runUntil([this] { return snapshot_requested_at_.has_value(); }, kTestTimeout));
  EXPECT_LE(*snapshot_requested_at_, before_snapshot);
}

TEST_F(PeerServerTest, SnapshotThatWasNotRequestedIsIgnored) {
  connectAndAwaitHello();
  gateway_->send(ClusterSnapshotFrame{});
  gateway_->query(kExchange);
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_->state.has_value(); }, kTestTimeout));
  EXPECT_FALSE(snapshot_requested_at_);
}

TEST_F(PeerServerTest, RequestInPartsRunsWithItsLastPart) {
  connect(kRequestPartsWireVersion);
  sendHalf(false);
  runFor(milliseconds(50));
  EXPECT_EQ(running_, nullptr);
  sendHalf(true);
  ASSERT_TRUE(loop_.runUntil([this] { return running_ != nullptr; }, kTestTimeout));
  running_->write(httpResponseText(200, "X-Request-Id: 0123456789abcdef\r\nX-Response-Seal: s\r\n", "done"));
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_->reply.has_value(); }, kTestTimeout));
  EXPECT_EQ(gateway_->reply->outcome, ForwardOutcome::Answered);
}

// The second half alone can't be decoded as a request, so that the stream is closed.
TEST_F(PeerServerTest, PartsOfCancelledRequestAreDropped) {
  connect(kRequestPartsWireVersion);
  sendHalf(false);
  gateway_->send(CancelForwardFrame{kExchange});
  sendHalf(true);
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_->closed; }, kTestTimeout));
  EXPECT_EQ(running_, nullptr);
}

// The gateway reports a request whose last part was not sent as not run, so it must not run.
TEST_F(PeerServerTest, PartsOfAnEndedStreamAreDropped) {
  connect(kRequestPartsWireVersion);
  sendHalf(false);
  runFor(milliseconds(50));
  connect(kRequestPartsWireVersion);
  sendHalf(true);
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_->closed; }, kTestTimeout));
  EXPECT_EQ(running_, nullptr);
}

// The gateway has been told that the request has not started, and may have sent it elsewhere.
TEST_F(PeerServerTest, RequestThatWasQueriedBetweenItsPartsDoesNotRun) {
  connect(kRequestPartsWireVersion);
  sendHalf(false);
  EXPECT_EQ(queryOutcome(), ExchangeState::NotStarted);
  sendHalf(true);
  runFor(milliseconds(100));
  EXPECT_EQ(running_, nullptr);
}

TEST_F(PeerServerTest, RequestInPartsWithoutRoomIsRefusedAsNotRun) {
  connect(kRequestPartsWireVersion);
  const std::string megabyte(1U << 20U, 'x');
  for (std::size_t sent = 0; sent <= kMaxRequestBytesInParts; sent += megabyte.size()) {
    gateway_->send(ForwardPartFrame{kExchange, megabyte, false});
  }
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_->reply.has_value(); }, kTestTimeout));
  EXPECT_EQ(gateway_->reply->outcome, ForwardOutcome::NotRun);
  EXPECT_EQ(gateway_->reply->reason, ForwardReason::Overloaded);
}

}  // namespace
}  // namespace shedlever::test
