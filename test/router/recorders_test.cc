/// @file
/// Log lines and metrics of the gateway's and the gate's decisions.

#include <fcntl.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <vector>

#include "source/lab/sim/simulated_cluster.h"
#include "source/router/command_recorder.h"
#include "source/router/gate_recorder.h"
#include "source/router/gateway_recorder.h"
#include "source/router/ownership_recorder.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;

/// Keeps the callbacks of commands until the test answers them.
class HeldCommands final : public ServerCommands {
 public:
  void grant(const GrantCommand&, std::function<void(CommandStatus)> done) override {
    grants.push_back(std::move(done));
  }
  void release(const ReleaseCommand&, std::function<void(ReleaseResult)> done) override {
    releases.push_back(std::move(done));
  }

  std::vector<std::function<void(CommandStatus)>> grants;
  std::vector<std::function<void(ReleaseResult)>> releases;
};

class RecordersTest : public ::testing::Test {
 protected:
  RecordersTest() {
    EXPECT_EQ(pipe2(pipe_.data(), O_CLOEXEC | O_NONBLOCK), 0);
    log_ = std::make_unique<EventLog>(loop_, time_, pipe_[1]);
    RouterConfig config;
    Route route;
    route.name = "search";
    route.path_prefix = "/";
    route.target_latency = milliseconds(300);
    route.shares = {{ServiceName("lookup"), 1}};
    config.version = 12;
    config.routes = {route};
    routes_ = std::make_shared<const RouteTable>(std::move(config));
  }
  ~RecordersTest() override {
    log_.reset();
    close(pipe_[0]);
    close(pipe_[1]);
  }

  std::string logged() {
    log_->flush();
    std::string text(1U << 16U, '\0');
    const ssize_t size = read(pipe_[0], text.data(), text.size());
    text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    return text;
  }

  GatewayRequest request() {
    GatewayRequest request({}, StrictHttpResponder({}, 0), routes_);
    request.route = &routes_->config().routes.front();
    request.service = ServiceName("lookup");
    request.id = RequestId("r1");
    request.arrived = time_.now();
    request.deadline = time_.now() + milliseconds(1000);
    request.attempt.node = NodeName("b");
    request.attempt.instance = InstanceId("i-1");
    return request;
  }

  /// A grant of 2 s, decided 30 ms before it is sent, under a lease of 7 s.
  GrantCommand grantCommand() const {
    return {10,
            20,
            33,
            milliseconds(2000),
            {},
            InstanceId("i-1"),
            {time_.now() - milliseconds(30), time_.now() + milliseconds(7000)}};
  }

  /// Sends a grant that is answered after the given time.
  void runGrant(const GrantCommand& command, CommandStatus status, Duration answer_time) {
    CommandRecorder recorder(commands_, time_, *log_, metrics_);
    CommandStatus passed_on = CommandStatus::NoAnswer;
    recorder.grant(command, [&passed_on](CommandStatus answered) { passed_on = answered; });
    time_.runFor(answer_time, [] {});
    commands_.grants.back()(status);
    EXPECT_EQ(passed_on, status);
  }

  std::string metrics() { return metrics_.text({}); }

  std::array<int, 2> pipe_{};
  EventLoop loop_;
  sim::VirtualTime time_;
  std::unique_ptr<EventLog> log_;
  RouterMetrics metrics_;
  HeldCommands commands_;
  std::shared_ptr<const RouteTable> routes_;
};

TEST_F(RecordersTest, EndedAttemptIsLoggedWithItsServerAndLoad) {
  GatewayRecorder recorder(time_, *log_, metrics_);
  ForwardReplyFrame reply;
  reply.reason = ForwardReason::Overloaded;
  recorder.attemptEnded(request(), reply, RetryDecision::TryAnother, {0.5, milliseconds(40), 0});
  const std::string line = logged();
  EXPECT_THAT(line, HasSubstr("gateway: event=attempt-ended "));
  EXPECT_THAT(line, HasSubstr(" id=r1 next=try-another reason=overloaded "));
  EXPECT_THAT(line, HasSubstr(" node=b instance=i-1 "));
  EXPECT_THAT(line, HasSubstr(" load_age_ms=40 table=- "));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_retries_total{reason=\"overloaded\"} 1"));
}

TEST_F(RecordersTest, LateAnswerUsesTheRateLimitOfFailedRequests) {
  GatewayRecorder recorder(time_, *log_, metrics_);
  // Uses up the rate limit of requests that were answered in time.
  while (log_->mayWriteServed()) {
  }
  const GatewayRequest in_time = request();
  recorder.ended(in_time, 200, "answered");
  EXPECT_EQ(logged(), "");
  const GatewayRequest late = request();
  time_.runFor(milliseconds(301), [] {});
  while (log_->mayWriteServed()) {
  }
  recorder.ended(late, 200, "answered");
  EXPECT_THAT(logged(), HasSubstr(" held_ms=301 target_ms=300 left_ms=699"));
  EXPECT_THAT(metrics(),
              HasSubstr("shedlever_requests_total{outcome=\"answered\",reason=\"none\",service=\"lookup\"} 2"));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_request_seconds_count{route=\"search\"} 2"));
}

TEST_F(RecordersTest, RequestWithoutARouteIsLoggedWithTheConfigurationVersion) {
  GatewayRecorder recorder(time_, *log_, metrics_);
  recorder.refusedAtOnce({"GET", "/nowhere", {{"Host", "h"}}, {}}, RequestId("r2"), Reason::UnknownService, 12);
  EXPECT_THAT(logged(), HasSubstr(" id=r2 reason=unknown-service host=h target=/nowhere config=12"));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_requests_refused_at_once_total{reason=\"unknown-service\"} 1"));
}

TEST_F(RecordersTest, GateRefusalIsLoggedWithItsInputs) {
  GateRecorder recorder(*log_, metrics_);
  ForwardFrame frame;
  frame.id = RequestId("r3");
  frame.instance = InstanceId("i-old");
  frame.keyed = true;
  frame.key = 77;
  GateInputs inputs{InstanceId("i-new"), {18, 40, 18, 0}, milliseconds(105), 901, milliseconds(7000)};
  recorder.refused(frame, {ForwardReason::WrongInstance, milliseconds(100), milliseconds(40), milliseconds(30)},
                   inputs);
  const std::string line = logged();
  EXPECT_THAT(line, HasSubstr("gate: event=refused "));
  EXPECT_THAT(line, HasSubstr(" id=r3 reason=wrong-instance "));
  EXPECT_THAT(line, HasSubstr(" key=77 asked_for=i-old instance=i-new running=18 queued=40 slots=18 "));
  EXPECT_THAT(line, HasSubstr(" longest_wait_ms=105 table=901 lease_left_ms=7000 "));
  EXPECT_THAT(line, HasSubstr(" retry_after_ms=100 overtaking_ms=40 waited_ms=30 "));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_gate_refusals_total{reason=\"wrong-instance\"} 1"));
}

// Guards against waits in vain that only a trace of single requests would show.
TEST_F(RecordersTest, RequestThatIsRefusedAfterItWasQueuedCountsAsWaitedInVain) {
  GateRecorder recorder(*log_, metrics_);
  const ForwardFrame frame;
  recorder.refused(frame, {ForwardReason::Overloaded, milliseconds(400)}, {});
  EXPECT_THAT(metrics(), ::testing::Not(HasSubstr("waited-in-vain")));
  recorder.refused(frame, {ForwardReason::Overloaded, milliseconds(400), {}, milliseconds(25)}, {});
  recorder.refused(frame, {ForwardReason::Draining, {}, {}, milliseconds(25)}, {});
  EXPECT_THAT(metrics(), HasSubstr("shedlever_events_total{event=\"waited-in-vain\"} 1"));
}

TEST_F(RecordersTest, GateLogsOnlyUnansweredRequests) {
  GateRecorder recorder(*log_, metrics_);
  ForwardFrame frame;
  frame.id = RequestId("r4");
  ServerResult result;
  result.outcome = ForwardOutcome::Answered;
  recorder.ended(frame, {1, 2}, result, milliseconds(3), milliseconds(20));
  EXPECT_EQ(logged(), "");
  result.outcome = ForwardOutcome::Unknown;
  result.reason = ForwardReason::ConnectionLost;
  result.reached_server = true;
  recorder.ended(frame, {1, 2}, result, milliseconds(3), milliseconds(20));
  EXPECT_THAT(logged(), HasSubstr("gate: event=not-answered "));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_server_seconds_count 1"));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_queue_seconds_count 2"));
}

TEST(ServerResultTest, OnlyAResponseBelow500Succeeds) {
  ServerResult result;
  EXPECT_FALSE(result.succeeded());
  result.outcome = ForwardOutcome::Answered;
  result.http.status = 200;
  EXPECT_TRUE(result.succeeded());
  result.http.status = 404;
  EXPECT_TRUE(result.succeeded());
  for (const int failed : {500, 504}) {
    result.http.status = failed;
    EXPECT_FALSE(result.succeeded());
  }
  result.outcome = ForwardOutcome::NotRun;
  result.http.status = 200;
  EXPECT_FALSE(result.succeeded());
}

TEST_F(RecordersTest, AttemptLinesAreRateLimited) {
  GatewayRecorder recorder(time_, *log_, metrics_);
  constexpr int kAttempts = 1000;
  for (int i = 0; i < kAttempts; ++i) {
    recorder.attemptEnded(request(), {}, RetryDecision::TryAnother, {});
  }
  EXPECT_EQ(log_->droppedLines(), 950U);
  EXPECT_THAT(metrics_.text({}), HasSubstr("shedlever_retries_total{reason=\"none\"} 1000"));
}

// Guards against two owners of a key that no log line can explain.
TEST_F(RecordersTest, NewGrantIsLoggedWithItsLeaseAndTimes) {
  runGrant(grantCommand(), CommandStatus::Done, milliseconds(4));
  EXPECT_THAT(logged(), HasSubstr(" cause=newly-held keys=10-20 token=33 status=done hold_ms=2000 lease_left_ms=7000 "
                                  "decided_before_ms=30 answered_after_ms=4 past_lease_ms=0\n"));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_grants_total{result=\"done\"} 1"));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_grant_seconds_count 1"));
}

TEST_F(RecordersTest, PlainRenewalIsOnlyCounted) {
  GrantCommand command = grantCommand();
  command.basis.renewal = true;
  runGrant(command, CommandStatus::Done, milliseconds(100));
  EXPECT_EQ(logged(), "");
  EXPECT_THAT(metrics(), HasSubstr("shedlever_grants_total{result=\"done\"} 1"));
}

TEST_F(RecordersTest, RenewalThatFailsIsSlowOrIsLimitedByTheLeaseIsLogged) {
  GrantCommand command = grantCommand();
  command.basis.renewal = true;
  runGrant(command, CommandStatus::ServerGone, milliseconds(1));
  EXPECT_THAT(logged(), HasSubstr(" cause=failed keys=10-20 token=33 status=connection-refused "));
  runGrant(command, CommandStatus::Done, milliseconds(101));
  EXPECT_THAT(logged(), HasSubstr(" cause=slow keys=10-20 "));
  command.basis.limited_by_lease = true;
  runGrant(command, CommandStatus::Done, milliseconds(1));
  EXPECT_THAT(logged(), HasSubstr(" cause=cut-short keys=10-20 "));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_grants_total{result=\"connection-refused\"} 1"));
}

// Guards against grants that outlast the lease without a trace in the logs.
TEST_F(RecordersTest, GrantThatOutlastsTheLeaseIsLoggedAndCounted) {
  GrantCommand command = grantCommand();
  command.basis.renewal = true;
  command.basis.lease_until = time_.now() + milliseconds(2200);
  runGrant(command, CommandStatus::Done, milliseconds(250));
  EXPECT_THAT(logged(), HasSubstr(" cause=past-lease "));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_events_total{event=\"grant-past-lease\"} 1"));
}

TEST_F(RecordersTest, ReleaseIsLoggedWithItsStatusAndTime) {
  CommandRecorder recorder(commands_, time_, *log_, metrics_);
  std::string handover;
  recorder.release({10, 20, 34}, [&handover](const ReleaseResult& result) { handover = result.handover; });
  time_.runFor(milliseconds(70), [] {});
  commands_.releases.back()({CommandStatus::Done, "h"});
  EXPECT_EQ(handover, "h");
  const std::string line = logged();
  EXPECT_THAT(line, HasSubstr("ownership: event=release "));
  EXPECT_THAT(line, HasSubstr(" keys=10-20 token=34 status=done answered_after_ms=70\n"));
  runGrant(grantCommand(), CommandStatus::NoAnswer, milliseconds(300));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_releases_total{result=\"done\"} 1"));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_grants_total{result=\"no-answer\"} 1"));
}

TEST_F(RecordersTest, GrantLinesAreRateLimited) {
  constexpr int kGrants = 1000;
  for (int i = 0; i < kGrants; ++i) {
    runGrant(grantCommand(), CommandStatus::NoAnswer, Duration::zero());
  }
  EXPECT_EQ(log_->droppedLines(), 950U);
  EXPECT_THAT(metrics(), HasSubstr("shedlever_grants_total{result=\"no-answer\"} 1000"));
}

// Guards against a change of owner whose proof cannot be read from the log.
TEST_F(RecordersTest, ChangeOfOwnerIsLoggedInOneLineWithItsProof) {
  OwnershipRecorder recorder(time_, *log_, metrics_);
  const OwnerLocation to{InstanceId("i-2"), NodeName("b")};
  OwnerChange change{OwnerChangeProof::ConnectionRefused, NodeName("a"), time_.now() + milliseconds(1500), {}};
  for (Key first = 0; first < 6; ++first) {
    change.transfers.push_back({{first, first}, InstanceId("i-1"), 7, to, 11});
  }
  recorder.ownerChanged(change);
  const std::string line = logged();
  EXPECT_THAT(line, HasSubstr("ownership: event=owner-changed "));
  EXPECT_THAT(line, HasSubstr(" proof=connection-refused from_node=a may_hold_ms=1500 ranges=6 "
                              "transfers=\"0-0 from i-1 token 7 to i-2 at b token 11; 1-1 from "));
  EXPECT_THAT(line, HasSubstr("; 3-3 from i-1 token 7 to i-2 at b token 11\" more=2\n"));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_events_total{event=\"owner-changed-connection-refused\"} 1"));
  EXPECT_THAT(metrics(), HasSubstr("shedlever_events_total{event=\"owner-changed-while-held\"} 1"));
}

TEST_F(RecordersTest, ChangeOfOwnerAfterTheHoldHasEndedIsNotCountedAsWhileHeld) {
  OwnershipRecorder recorder(time_, *log_, metrics_);
  const OwnerTransfer transfer{{0, 9}, InstanceId("i-1"), 7, {InstanceId("i-2"), NodeName("b")}, 11};
  recorder.ownerChanged({OwnerChangeProof::LeaseRevoked, NodeName("a"), time_.now() - milliseconds(500), {transfer}});
  EXPECT_THAT(logged(), HasSubstr(" proof=lease-revoked from_node=a may_hold_ms=-500 ranges=1 "));
  recorder.ownerChanged({OwnerChangeProof::ReleaseAnswered, NodeName("a"), {}, {transfer}});
  EXPECT_THAT(logged(), HasSubstr(" proof=release-answered from_node=a may_hold_ms=- ranges=1 "));
  EXPECT_THAT(metrics(), ::testing::Not(HasSubstr("owner-changed-while-held")));
}

TEST_F(RecordersTest, SentBytesAreCountedByKindOfFrame) {
  metrics_.onFrameSent(PingFrame{}, 3);
  metrics_.onFrameSent(OwnerTableFrame{}, 20'000);
  metrics_.onFrameSent(OwnerTableFrame{}, 5'000);
  const std::string text = metrics_.text({});
  EXPECT_THAT(text, HasSubstr("shedlever_peer_sent_bytes_total{frame=\"ping\"} 3"));
  EXPECT_THAT(text, HasSubstr("shedlever_peer_sent_bytes_total{frame=\"owner-table\"} 25000"));
}

TEST_F(RecordersTest, GaugesShowTheGivenValues) {
  RouterGauges gauges;
  gauges.load = {3, 2, 18, 500};
  gauges.config_version = 12;
  gauges.config_age = milliseconds(1500);
  gauges.lease_left = milliseconds(7500);
  gauges.store_reached = true;
  metrics_.onStoreCall("GET", 200, milliseconds(4));
  metrics_.onStoreCall("PUT", 0, milliseconds(900));
  const std::string text = metrics_.text(gauges);
  EXPECT_THAT(text, HasSubstr("shedlever_server_running 3"));
  EXPECT_THAT(text, HasSubstr("shedlever_link_wait_seconds 0.5"));
  EXPECT_THAT(text, HasSubstr("shedlever_config_age_seconds 1.5"));
  EXPECT_THAT(text, HasSubstr("shedlever_lease_left_seconds 7.5"));
  EXPECT_THAT(text, HasSubstr("shedlever_store_reached 1"));
  EXPECT_THAT(text, HasSubstr("shedlever_store_calls_total{method=\"PUT\",outcome=\"no-answer\"} 1"));
  EXPECT_THAT(text, HasSubstr("shedlever_store_call_seconds_count 1"));
}

}  // namespace
}  // namespace shedlever::test
