/// @file
/// Final responses to requests with several attempts. "Not run" must be true of all attempts.

#include "source/router/gateway.h"

#include <fcntl.h>
#include <gtest/gtest.h>

#include "platform/client_protocol.h"
#include "platform/server_protocol.h"
#include "source/lab/sim/simulated_cluster.h"
#include "source/net/http_client.h"
#include "source/net/http_headers.h"
#include "source/net/system_clock_and_random.h"
#include "test/support/fake_peer.h"
#include "test/support/http_call.h"
#include "test/support/peer_events.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

ForwardReplyFrame reply(ForwardOutcome outcome, ForwardReason reason, bool reached) {
  ForwardReplyFrame frame;
  frame.outcome = outcome;
  frame.reason = reason;
  frame.reached_server = reached;
  return frame;
}

ForwardReplyFrame unknown() { return reply(ForwardOutcome::Unknown, ForwardReason::ConnectionLost, true); }

ForwardReplyFrame refused() {
  ForwardReplyFrame frame = reply(ForwardOutcome::NotRun, ForwardReason::Overloaded, false);
  frame.retry_after_us = Duration(milliseconds(200)).count();
  return frame;
}

ForwardReplyFrame answered(int status, const std::string& body) {
  ForwardReplyFrame frame = reply(ForwardOutcome::Answered, ForwardReason::None, true);
  frame.http = {status, {}, body};
  return frame;
}

ForwardReplyFrame withHeader(ForwardReplyFrame frame, const std::string& name, const std::string& value) {
  frame.http.headers.push_back({name, value});
  return frame;
}

/// Two servers of a service without keys, whose peers answer successive attempts as specified by the test.
class GatewayTest : public ::testing::Test {
 protected:
  GatewayTest()
      : log_(loop_, clock_, open("/dev/null", O_WRONLY | O_CLOEXEC)),
        directory_(self_.name, ZoneName("z"), {}, random_),
        peer_client_(loop_, clock_, self_, directory_, peerEvents()),
        gateway_(self_, ServiceName("own"), {1.0, 100}, ports()) {
    RouterConfig config;
    config.version = 1;
    config.services[service_] = service(service_);
    config.services[divided_] = service(divided_);
    config.services[divided_].divided_by_key = true;
    config.routes.push_back(route());
    config.routes.push_back(dividedRoute());
    config.routes.push_back(invalidRoute());
    config.routes.push_back(atMostOnceRoute());
    gateway_.setConfig(std::make_shared<const RouteTable>(std::move(config)));
    auto clients = StrictHttpServer::listen(loop_, kAnyLoopbackPort, {},
                                            [this](HttpRequest request, const StrictHttpResponder& replier) {
                                              gateway_.handle(std::move(request), replier);
                                            });
    clients_ = std::move(clients.value());
    for (FakePeer* peer : {&first_, &second_}) {
      peer->on_forward = [this](const ForwardFrame&) { return nextAnswer(); };
    }
    addNode(first_, "node-1");
    addNode(second_, "node-2");
  }

  PeerClient::Events peerEvents() {
    PeerClient::Events events = ignoringPeerEvents();
    events.on_silent_requests = [this](const std::vector<ExchangeId>& exchanges) {
      gateway_.onSilentRequests(exchanges);
    };
    return events;
  }

  static RoutedService service(const ServiceName& name) {
    RoutedService service;
    service.name = name;
    service.health_path = "/health";
    service.max_connections = 100;
    return service;
  }

  Route route() const {
    Route route;
    route.name = "read";
    route.path_prefix = "/read/";
    route.kind = RouteKind::Idempotent;
    route.target_latency = seconds(2);
    route.max_attempts = 3;
    route.shares.push_back({service_, 1});
    return route;
  }

  /// A route whose requests may wait for longer than any test runs.
  Route dividedRoute() const {
    Route made = route();
    made.name = "keyed";
    made.path_prefix = "/keyed/";
    made.target_latency = std::chrono::hours(1);
    made.timeout = std::chrono::hours(2);
    made.shares = {{divided_, 1}};
    return made;
  }

  /// A route whose definition could not be decoded, below the prefix of another one.
  Route invalidRoute() const {
    Route made = route();
    made.name = "invalid";
    made.path_prefix = "/read/later/";
    made.shares.clear();
    return made;
  }

  Route atMostOnceRoute() const {
    Route made = route();
    made.name = "write";
    made.path_prefix = "/write/";
    made.kind = RouteKind::AtMostOnce;
    return made;
  }

  GatewayPorts ports() {
    GatewayPorts ports;
    ports.loop = &loop_;
    ports.clock = &clock_;
    ports.random = &random_;
    ports.protocol = &protocol_;
    ports.server_protocol = &server_protocol_;
    ports.directory = &directory_;
    ports.quarantine = &quarantine_;
    ports.peer_client = &peer_client_;
    ports.log = &log_;
    ports.metrics = &metrics_;
    ports.owner_of = [this](const ServiceName&, Key) { return key_owner_; };
    ports.on_hint = [](const ServiceName&, const OwnerHint&) {};
    ports.on_known_revisions = [](const NodeName&, const ServiceName&, const KnownRevisions&) {};
    return ports;
  }

  void addNode(const FakePeer& peer, const std::string& name) {
    NodeRecord record;
    record.node = NodeName(name);
    record.peer = peer.endpoint();
    record.zone = ZoneName("z");
    record.service = service_;
    record.instance = InstanceId("i-" + name);
    record.slots = 4;
    directory_.update(record);
  }

  /// Lets the node state a limited link over which requests arrive far too late.
  void stateFullLink(const std::string& node) {
    constexpr std::uint32_t kNarrow = 1250;
    ForwardReplyFrame statement = reply(ForwardOutcome::NotRun, ForwardReason::Overloaded, false);
    statement.load = {0, 0, 4};
    statement.load.link_kbytes_per_s = kNarrow;
    statement.load.arrival_delay_ms = static_cast<std::uint32_t>(milliseconds(std::chrono::hours(24)).count());
    directory_.onReply(NodeName(node), "read", statement, clock_.now());
  }

  std::optional<ForwardReplyFrame> nextAnswer() {
    if (next_ == answers_.size()) {
      return std::nullopt;
    }
    return answers_[next_++];
  }

  /// @param answers to the attempts in order; further attempts get no answer.
  HttpResponse ask(std::vector<ForwardReplyFrame> answers, Duration deadline = seconds(10)) {
    answers_ = std::move(answers);
    next_ = 0;
    const auto deadline_ms = std::chrono::floor<milliseconds>(deadline).count();
    const auto response = httpCall(
        loop_, clients_->endpoint(),
        {"GET", "/read/x", {{"Host", "h"}, {"X-Request-Deadline", std::to_string(deadline_ms)}}, {}}, kTestTimeout);
    EXPECT_TRUE(response.has_value());
    return response.value_or(HttpResponse{});
  }

  /// Sends a request as `ask` does, without waiting for the response.
  /// @return the response, filled in while the loop runs.
  std::shared_ptr<std::optional<HttpResponse>> startAsking(std::vector<ForwardReplyFrame> answers) {
    answers_ = std::move(answers);
    next_ = 0;
    return startSending({"GET", "/read/x", {{"Host", "h"}, {"X-Request-Deadline", "20000"}}, {}});
  }

  /// @return a request for a key; the client's deadline is longer than any test runs.
  static HttpRequest keyRequest() {
    const auto deadline_ms = std::chrono::floor<milliseconds>(std::chrono::hours(1)).count();
    return {"GET",
            "/keyed/x",
            {{"Host", "h"}, {"X-Request-Deadline", std::to_string(deadline_ms)}, {"X-Shard-Key", "7"}},
            {}};
  }

  /// Requests a key.
  std::optional<HttpResponse> askForKey() { return httpCall(loop_, clients_->endpoint(), keyRequest(), kTestTimeout); }

  /// Sends a request for a key without waiting for the response.
  std::shared_ptr<std::optional<HttpResponse>> startAskingForKey() { return startSending(keyRequest()); }

  std::shared_ptr<std::optional<HttpResponse>> startSending(HttpRequest request) {
    HttpClientConfig config;
    config.server = clients_->endpoint();
    client_ = std::make_unique<HttpClient>(loop_, config);
    auto response = std::make_shared<std::optional<HttpResponse>>();
    client_->send(std::move(request), kTestTimeout,
                  [response](const HttpExchangeResult& result) { *response = result.response; });
    return response;
  }

  static bool hasRetryAfter(const HttpResponse& response) {
    return !headerValue(response.headers, "Retry-After").empty();
  }

  const NodeIdentity self_{NodeName("self"), Incarnation{1}};
  const ServiceName service_{"reads"};
  const ServiceName divided_{"keyed"};
  EventLoop loop_;
  BootTimeClock clock_;
  sim::SeededRandom random_{1};
  EventLog log_;
  RouterMetrics metrics_;
  platform::ClientProtocolImpl protocol_;
  platform::ServerProtocolImpl server_protocol_;
  ServerDirectory directory_;
  CrashQuarantine quarantine_{{}};
  PeerClient peer_client_;
  Gateway gateway_;
  std::unique_ptr<StrictHttpServer> clients_;
  std::unique_ptr<HttpClient> client_;
  FakePeer first_{loop_, {NodeName("node-1"), Incarnation{1}}};
  FakePeer second_{loop_, {NodeName("node-2"), Incarnation{1}}};
  /// Owner of all keys; none at first.
  KeyOwner key_owner_;
  std::vector<ForwardReplyFrame> answers_;
  std::size_t next_ = 0;
};

// A client repeats what it has sent behind an unanswered request if the connection ends.
TEST_F(GatewayTest, OnlyRepeatableRequestsWithoutEffectMayRunAhead) {
  const auto to = [](const std::string& target) { return HttpRequest{"GET", target, {{"Host", "h"}}, {}}; };
  EXPECT_TRUE(gateway_.mayRunAhead(to("/read/1")));
  EXPECT_FALSE(gateway_.mayRunAhead(to("/unknown/1")));
  EXPECT_FALSE(gateway_.mayRunAhead(to("/write/1")));
  EXPECT_FALSE(gateway_.mayRunAhead({"PUT", "/read/1", {{"Host", "h"}}, {}}));
}

// No server can take over the keys, so waiting for an owner is useless.
TEST_F(GatewayTest, RequestForAKeyOfAFullyEvacuatedServiceIsRefusedImmediately) {
  NodeRecord record;
  record.node = NodeName("node-3");
  record.zone = ZoneName("z");
  record.service = divided_;
  record.instance = InstanceId("i-3");
  record.slots = 4;
  directory_.update(record);
  directory_.setEvacuated({ZoneName("z")});
  const auto response = askForKey();
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->status, kUnavailable);
  EXPECT_TRUE(hasRetryAfter(*response));
}

// Guards against requests of a route that could not be decoded reaching the service of a shorter prefix.
TEST_F(GatewayTest, RequestOfAnInvalidRouteIsRefusedWithoutAnAttempt) {
  const auto response = httpCall(loop_, clients_->endpoint(), {"GET", "/read/later/1", {}, {}}, kTestTimeout);
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->status, kUnavailable);
  EXPECT_TRUE(hasRetryAfter(*response));
  EXPECT_EQ(next_, 0U);
}

TEST_F(GatewayTest, RequestThatNoAttemptRanIsRefusedWithRetryAfter) {
  const HttpResponse response = ask({refused(), refused()});
  EXPECT_EQ(response.status, kUnavailable);
  EXPECT_TRUE(hasRetryAfter(response));
}

// The first attempt may have run, whatever the result of the second one.
TEST_F(GatewayTest, RefusalAfterAnAttemptOfUnknownOutcomeIsNotReportedAsNotRun) {
  const HttpResponse response = ask({unknown(), refused()});
  EXPECT_EQ(response.status, kBadGateway);
  EXPECT_FALSE(hasRetryAfter(response));
}

TEST_F(GatewayTest, NoServerLeftAfterAnAttemptOfUnknownOutcomeIsNotReportedAsNotRun) {
  directory_.remove(NodeName("node-2"));
  EXPECT_EQ(ask({unknown()}).status, kBadGateway);
}

TEST_F(GatewayTest, TimeoutAfterAnAttemptOfUnknownOutcomeIsNotReportedAsNotRun) {
  EXPECT_EQ(ask({unknown()}, milliseconds(700)).status, kGatewayTimeout);
}

// The first attempt has run and its response is available.
TEST_F(GatewayTest, ServerErrorIsReturnedIfNoFurtherAttemptIsAnswered) {
  const HttpResponse response = ask({answered(500, "broken here"), refused()});
  EXPECT_EQ(response.status, 500);
  EXPECT_EQ(response.body, "broken here");
}

TEST_F(GatewayTest, ServerErrorIsReturnedIfTheNextOutcomeIsUnknown) {
  EXPECT_EQ(ask({answered(500, "broken here"), unknown()}).status, 500);
}

// The client need not wait for the silent peer, whose server's run is cancelled.
TEST_F(GatewayTest, RequestAtSilentPeerIsAnsweredByAnotherServer) {
  directory_.remove(NodeName("node-2"));
  EXPECT_EQ(ask({answered(200, "connected")}).status, 200);
  first_.hold();
  const auto response = startAsking({answered(200, "second")});
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_.inFlight() == 1; }, kTestTimeout));
  addNode(second_, "node-2");
  ASSERT_TRUE(loop_.runUntil([&] { return response->has_value(); }, kTestTimeout));
  EXPECT_EQ((*response)->body, "second");
  first_.on_forward = nullptr;
  first_.release();
  EXPECT_TRUE(loop_.runUntil([this] { return first_.cancelled_requests == 1; }, kTestTimeout));
}

// The silent peer's server may still run the request.
TEST_F(GatewayTest, RefusalByAnotherServerDoesNotEndARequestAtASilentPeer) {
  directory_.remove(NodeName("node-2"));
  EXPECT_EQ(ask({answered(200, "connected")}).status, 200);
  first_.hold();
  first_.exchange_state = ExchangeState::Pending;
  const auto response = startAsking({refused(), answered(200, "first")});
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_.inFlight() == 1; }, kTestTimeout));
  addNode(second_, "node-2");
  ASSERT_TRUE(loop_.runUntil([this] { return second_.forwarded_requests == 1; }, kTestTimeout));
  first_.release();
  ASSERT_TRUE(loop_.runUntil([&] { return response->has_value(); }, kTestTimeout));
  EXPECT_EQ((*response)->status, 200);
  EXPECT_EQ((*response)->body, "first");
}

// A peer behind a busy link is silent for seconds, while its server runs the request.
TEST_F(GatewayTest, RequestAtTemporarilySilentPeerGetsItsServersAnswer) {
  directory_.remove(NodeName("node-2"));
  EXPECT_EQ(ask({answered(200, "connected")}).status, 200);
  first_.hold();
  first_.exchange_state = ExchangeState::Pending;
  const auto response = startAsking({answered(200, "here")});
  ASSERT_TRUE(loop_.runUntil([this] { return directory_.isUnreachable(NodeName("node-1")); }, kTestTimeout));
  first_.release();
  ASSERT_TRUE(loop_.runUntil([&] { return response->has_value(); }, kTestTimeout));
  EXPECT_EQ((*response)->status, 200);
  EXPECT_EQ((*response)->body, "here");
}

// The exit of this process would abort the request at its server.
TEST_F(GatewayTest, RequestExpectedToOutlastTheProcessIsRefusedWithoutAnAttempt) {
  ForwardReplyFrame slow = answered(200, "here");
  slow.service_us = Duration(std::chrono::hours(1)).count();
  EXPECT_EQ(ask({slow}).status, 200);
  gateway_.setProcessEnd(clock_.now() + std::chrono::minutes(10));
  const std::size_t before = first_.forwarded_requests + second_.forwarded_requests;
  const HttpResponse response = ask({answered(200, "here")});
  EXPECT_EQ(response.status, kUnavailable);
  EXPECT_TRUE(hasRetryAfter(response));
  EXPECT_EQ(first_.forwarded_requests + second_.forwarded_requests, before);
}

// Another node must not queue the request until after this process has ended.
TEST_F(GatewayTest, RepeatableAttemptGetsNoMoreTimeThanTheProcessHas) {
  constexpr Duration kTimeLeft = seconds(5);
  gateway_.setProcessEnd(clock_.now() + kTimeLeft);
  Duration::rep given_us = 0;
  for (FakePeer* peer : {&first_, &second_}) {
    peer->on_forward = [&given_us](const ForwardFrame& frame) {
      given_us = frame.remaining_us;
      return answered(200, "here");
    };
  }
  EXPECT_EQ(ask({}).status, 200);
  EXPECT_GT(given_us, 0);
  EXPECT_LE(given_us, kTimeLeft.count());
}

// The server must get no request after it has said that it leaves, though its node's record never says so.
TEST_F(GatewayTest, ServerThatSaidItIsLeavingGetsNoFurtherRequest) {
  directory_.remove(NodeName("node-2"));
  EXPECT_EQ(ask({withHeader(answered(200, "last"), "Server-Leaving", "1")}).status, 200);
  addNode(first_, "node-1");
  const HttpResponse refused = ask({answered(200, "too late")});
  EXPECT_EQ(refused.status, kUnavailable);
  EXPECT_EQ(first_.forwarded_requests, 1U);
  addNode(second_, "node-2");
  EXPECT_EQ(ask({answered(200, "elsewhere")}).body, "elsewhere");
}

TEST_F(GatewayTest, LaterInstanceOfALeavingServerGetsRequests) {
  directory_.remove(NodeName("node-2"));
  EXPECT_EQ(ask({withHeader(answered(200, "last"), "Server-Leaving", "1")}).status, 200);
  NodeRecord record = *directory_.node(NodeName("node-1"));
  record.instance = InstanceId(record.instance.value + "/2");
  directory_.update(record);
  EXPECT_EQ(ask({answered(200, "new")}).body, "new");
}

// The owner gets requests for its keys only while these may still be handed over.
TEST_F(GatewayTest, RequestForAKeyOfAServerThatHasLeftIsNotSent) {
  key_owner_ = {InstanceId("i-node-1"), NodeName("node-1"), {}};
  gateway_.setKeyHandoverTime(std::chrono::hours(1));
  answers_ = {withHeader(answered(200, "first"), "Server-Leaving", "1"), answered(200, "during the handover")};
  EXPECT_EQ(askForKey()->body, "first");
  EXPECT_EQ(askForKey()->body, "during the handover");
  gateway_.setKeyHandoverTime(Duration::zero());
  const auto request = startAskingForKey();
  ASSERT_TRUE(loop_.runUntil([this] { return gateway_.inFlight() == 1; }, kTestTimeout));
  answers_.push_back(answered(200, "new owner"));
  key_owner_ = {InstanceId("i-node-2"), NodeName("node-2"), {}};
  gateway_.onOwnersChanged();
  ASSERT_TRUE(loop_.runUntil([&] { return request->has_value(); }, kTestTimeout));
  EXPECT_EQ((*request)->body, "new owner");
  EXPECT_EQ(first_.forwarded_requests, 2U);
}

// A client that came back earlier would be refused again: neither server takes a request before.
TEST_F(GatewayTest, RequestOverTheLimitsOfAllServersIsToldTheShortestWait) {
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(ask({withHeader(answered(200, "here"), "Server-Limit", "0.5")}).status, 200);
  }
  ForwardReplyFrame long_wait = refused();
  long_wait.retry_after_us = Duration(seconds(3)).count();
  ForwardReplyFrame longer_wait = refused();
  longer_wait.retry_after_us = Duration(seconds(4)).count();
  const HttpResponse response = ask({longer_wait, long_wait}, seconds(2));
  EXPECT_EQ(response.status, kUnavailable);
  const double retry_after = std::stod(std::string(headerValue(response.headers, "Retry-After")));
  EXPECT_GE(retry_after, 3.0);
  EXPECT_LE(retry_after, 6.0);
}

// A request that waits for a link until its deadline can't be sent elsewhere by its client.
TEST_F(GatewayTest, RequestThatWouldArriveTooLateAtAllServersIsRefusedWithoutAnAttempt) {
  stateFullLink("node-1");
  EXPECT_EQ(ask({answered(200, "by the other")}).body, "by the other");
  EXPECT_EQ(first_.forwarded_requests, 0U);
  stateFullLink("node-2");
  const HttpResponse response = ask({answered(200, "too late")});
  EXPECT_EQ(response.status, kUnavailable);
  EXPECT_TRUE(hasRetryAfter(response));
  EXPECT_EQ(first_.forwarded_requests + second_.forwarded_requests, 1U);
}

TEST_F(GatewayTest, RequestForAKeyThatWouldArriveTooLateAtItsOwnerIsRefusedWithoutAnAttempt) {
  stateFullLink("node-1");
  key_owner_ = {InstanceId("i-node-1"), NodeName("node-1"), {}};
  const auto refusal = askForKey();
  ASSERT_TRUE(refusal.has_value());
  EXPECT_EQ(refusal->status, kUnavailable);
  EXPECT_TRUE(hasRetryAfter(*refusal));
  EXPECT_EQ(first_.forwarded_requests, 0U);
}

/// @return responses that no server may send, but that a peer of an earlier build passes on.
std::vector<ForwardReplyFrame> brokenAnswers() {
  return {
      withHeader(answered(200, "broken"), "X-A\x01", "b"),
      withHeader(answered(200, "broken"), "X A", "b"),
      withHeader(answered(200, "broken"), "", "b"),
      withHeader(answered(200, "broken"), "X-A", "b\rSet-Cookie: c"),
      answered(0, "broken"),
      answered(103, "broken"),
      answered(700, "broken"),
  };
}

TEST_F(GatewayTest, BrokenResponseFromAPeerIsRepeatedAtAnotherServer) {
  for (const ForwardReplyFrame& broken : brokenAnswers()) {
    const HttpResponse response = ask({broken, answered(200, "here")});
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "here");
  }
}

// The server may have run the request.
TEST_F(GatewayTest, BrokenResponseFromAPeerIsNotPassedOnNorReportedAsNotRun) {
  for (const ForwardReplyFrame& broken : brokenAnswers()) {
    const HttpResponse response = ask({broken, refused()});
    EXPECT_EQ(response.status, kBadGateway);
    EXPECT_EQ(response.body, "");
    EXPECT_FALSE(hasRetryAfter(response));
  }
}

TEST_F(GatewayTest, AnswerAfterAnAttemptOfUnknownOutcomeIsReturned) {
  const HttpResponse response = ask({unknown(), answered(200, "here")});
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "here");
}

}  // namespace
}  // namespace shedlever::test
