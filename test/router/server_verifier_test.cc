/// @file
/// Tests of the health checks by which the first server of a process is verified, and of the acknowledgements that wait
/// for them.

#include "source/router/server_verifier.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <vector>

#include "test/support/manual_clock.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ServerVerifierTest : public ::testing::Test {
 protected:
  ServerVerifierTest() : log_(loop_, clock_, dup(STDERR_FILENO)), verifier_(ports()) {}

  ServerVerifier::Ports ports() {
    ServerVerifier::Ports ports;
    ports.clock = &clock_;
    ports.log = &log_;
    ports.check_health = [this](ServerVerifier::HealthCallback done) { checks_.push_back(std::move(done)); };
    ports.can_check_health = [this] { return path_known_; };
    ports.use = [this](const ServerReport& report, VerificationGround ground, const HealthCheckResult* check) {
      used_.push_back(report.sequence.value_or(0));
      ground_ = ground;
      limit_ = check == nullptr ? std::nullopt : check->condition->request_limit;
      return counts_;
    };
    return ports;
  }

  void report(std::uint64_t sequence, const std::string& instance = "i-1") {
    ServerReport report;
    report.instance = InstanceId(instance);
    report.sequence = sequence;
    verifier_.verify(report, [this, sequence](bool used) { acknowledged_.push_back({sequence, used}); });
  }

  void answerCheck(ServerHealth health, const std::string& server = "i-1") {
    HealthCheckResult check;
    check.health = health;
    check.server = ServerId(server);
    check.condition = ServerCondition{15.0, false, false};
    const auto done = std::move(checks_.back());
    checks_.pop_back();
    done(check);
  }

  void passTime(Duration time) {
    clock_.advance(time);
    verifier_.tick();
  }

  struct Acknowledgement {
    std::uint64_t sequence = 0;
    bool used = false;
    bool operator==(const Acknowledgement&) const = default;
  };

  EventLoop loop_;
  ManualClock clock_;
  EventLog log_;
  bool path_known_ = true;
  /// Whether a report that is used counts.
  bool counts_ = true;
  std::vector<ServerVerifier::HealthCallback> checks_;
  std::vector<std::uint64_t> used_;
  std::optional<VerificationGround> ground_;
  std::optional<double> limit_;
  std::vector<Acknowledgement> acknowledged_;
  ServerVerifier verifier_;
};

TEST_F(ServerVerifierTest, HealthyServerIsUsedWithOneCheckAndItsCondition) {
  verifier_.onEarlierRecord();
  report(7);
  EXPECT_TRUE(acknowledged_.empty());
  answerCheck(ServerHealth::Serving);
  EXPECT_EQ(used_, std::vector<std::uint64_t>{7});
  EXPECT_EQ(ground_, VerificationGround::HealthCheck);
  EXPECT_EQ(limit_, 15.0);
  EXPECT_EQ(acknowledged_, (std::vector<Acknowledgement>{{7, true}}));
  EXPECT_TRUE(verifier_.finished());
  passTime(seconds(5));
  EXPECT_TRUE(checks_.empty());
}

// Health checks have a price, and a new node has no earlier process whose word could be forgotten.
TEST_F(ServerVerifierTest, ServerOfANewNodeIsUsedWithoutACheck) {
  verifier_.onNoEarlierProcess();
  report(1);
  EXPECT_EQ(used_, std::vector<std::uint64_t>{1});
  EXPECT_TRUE(checks_.empty());
}

TEST_F(ServerVerifierTest, RecordThatIsReadAfterTheReportEndsTheWait) {
  path_known_ = false;
  report(1);
  EXPECT_TRUE(used_.empty());
  verifier_.onNoEarlierProcess();
  EXPECT_EQ(used_, std::vector<std::uint64_t>{1});
  EXPECT_EQ(acknowledged_, (std::vector<Acknowledgement>{{1, true}}));
}

// Guards against an acknowledgement that assigns keys by a report that was rejected.
TEST_F(ServerVerifierTest, RejectedReportIsAcknowledgedAsNotUsed) {
  counts_ = false;
  verifier_.onNoEarlierProcess();
  report(1);
  EXPECT_EQ(acknowledged_, (std::vector<Acknowledgement>{{1, false}}));
}

// Guards against acknowledgements that come so late that the server gives its router up.
TEST_F(ServerVerifierTest, AcknowledgementDoesNotWaitLongForTheHealthCheck) {
  verifier_.onEarlierRecord();
  report(7);
  passTime(milliseconds(299));
  EXPECT_TRUE(acknowledged_.empty());
  passTime(milliseconds(1));
  EXPECT_EQ(acknowledged_, (std::vector<Acknowledgement>{{7, false}}));
  answerCheck(ServerHealth::Serving);
  EXPECT_EQ(used_, std::vector<std::uint64_t>{7});
  EXPECT_EQ(acknowledged_.size(), 1U);
}

TEST_F(ServerVerifierTest, ServerThatDoesNotServeIsAskedAgainTwiceASecond) {
  verifier_.onEarlierRecord();
  report(7);
  for (int checks = 0; checks < 10; ++checks) {
    ASSERT_EQ(checks_.size(), 1U) << checks;
    answerCheck(ServerHealth::NotServing);
    passTime(milliseconds(499));
    EXPECT_TRUE(checks_.empty());
    passTime(milliseconds(1));
  }
  EXPECT_TRUE(used_.empty());
  answerCheck(ServerHealth::Serving);
  EXPECT_EQ(used_, std::vector<std::uint64_t>{7});
}

TEST_F(ServerVerifierTest, CheckWaitsUntilItsPathIsKnown) {
  path_known_ = false;
  verifier_.onEarlierRecord();
  report(7);
  EXPECT_TRUE(checks_.empty());
  path_known_ = true;
  passTime(milliseconds(50));
  EXPECT_EQ(checks_.size(), 1U);
}

TEST_F(ServerVerifierTest, OnlyTheNewestReportIsUsed) {
  verifier_.onEarlierRecord();
  report(7);
  report(8);
  report(6);
  answerCheck(ServerHealth::Serving);
  EXPECT_EQ(used_, std::vector<std::uint64_t>{8});
  EXPECT_EQ(acknowledged_, (std::vector<Acknowledgement>{{7, false}, {6, false}, {8, true}}));
}

// Guards against a notice to the new process that a report from before brings to nothing.
TEST_F(ServerVerifierTest, ServerThatLeavesMeanwhileIsNotUsed) {
  verifier_.onEarlierRecord();
  report(7, "i-1/1700");
  ServerReport leaving;
  leaving.instance = InstanceId("i-1");
  leaving.leaving = true;
  EXPECT_EQ(verifier_.dropLeaving(leaving), InstanceId("i-1/1700"));
  EXPECT_EQ(acknowledged_, (std::vector<Acknowledgement>{{7, false}}));
  answerCheck(ServerHealth::Serving);
  passTime(seconds(20));
  EXPECT_TRUE(used_.empty());
}

TEST_F(ServerVerifierTest, NoticeOfAnotherInstanceChangesNothing) {
  verifier_.onEarlierRecord();
  report(7, "i-1/1700");
  ServerReport leaving;
  leaving.leaving = true;
  leaving.instance = InstanceId("i-2");
  EXPECT_FALSE(verifier_.dropLeaving(leaving));
  leaving.instance = InstanceId("i-1/1600");
  leaving.start = 1600;
  EXPECT_FALSE(verifier_.dropLeaving(leaving));
  answerCheck(ServerHealth::Serving);
  EXPECT_EQ(used_, std::vector<std::uint64_t>{7});
}

}  // namespace
}  // namespace shedlever::test
