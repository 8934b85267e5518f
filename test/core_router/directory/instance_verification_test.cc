/// @file
/// Tests of the decision whether a process that has just started may use the server that reports to it. Guards against
/// requests to a server whose leaving an earlier process has acknowledged, and against sound servers that get none.

#include "source/core/router/directory/instance_verification.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class InstanceVerificationTest : public ::testing::Test {
 protected:
  static ServerReport report(const std::string& instance, std::uint64_t sequence) {
    ServerReport report;
    report.instance = InstanceId(instance);
    report.sequence = sequence;
    return report;
  }

  static HealthCheckResult check(const std::string& server, ServerHealth health) {
    HealthCheckResult result;
    result.server = ServerId(server);
    result.health = health;
    result.condition.emplace();
    return result;
  }

  std::optional<VerificationGround> ground() const { return verification_.groundForUse(now_); }

  InstanceVerification verification_;
  TimePoint now_{seconds(100)};
};

TEST_F(InstanceVerificationTest, ServerOfANewNodeIsUsedAtOnce) {
  verification_.onNoEarlierProcess();
  verification_.onReport(report("i-1", 1), now_);
  EXPECT_EQ(ground(), VerificationGround::NoEarlierProcess);
}

TEST_F(InstanceVerificationTest, NothingIsUsedBeforeItReports) {
  verification_.onNoEarlierProcess();
  EXPECT_FALSE(ground());
  EXPECT_EQ(verification_.pending(), nullptr);
}

TEST_F(InstanceVerificationTest, ServerIsUsedOnceItSaysThatItIsHealthy) {
  verification_.onEarlierRecord();
  verification_.onReport(report("i-1", 7), now_);
  EXPECT_FALSE(ground());
  verification_.onHealthCheck(check("i-1", ServerHealth::Serving));
  EXPECT_EQ(ground(), VerificationGround::HealthCheck);
}

// Its own word is newer than any record, so that the store need not be asked.
TEST_F(InstanceVerificationTest, HealthyServerIsUsedWhileTheStoreIsUnavailable) {
  verification_.onReport(report("i-1", 7), now_);
  verification_.onHealthCheck(check("i-1", ServerHealth::Serving));
  EXPECT_EQ(ground(), VerificationGround::HealthCheck);
}

TEST_F(InstanceVerificationTest, ServerThatDoesNotServeIsNotUsedAfterALateReport) {
  verification_.onEarlierRecord();
  verification_.onReport(report("i-1", 7), now_);
  verification_.onHealthCheck(check("i-1", ServerHealth::NotServing));
  now_ += seconds(60);
  EXPECT_FALSE(ground());
}

// A leaving server that is full rejects the health check like any other one.
TEST_F(InstanceVerificationTest, RejectedHealthCheckDoesNotTakeBackThatTheServerDoesNotServe) {
  verification_.onEarlierRecord();
  verification_.onReport(report("i-1", 7), now_);
  verification_.onHealthCheck(check("i-1", ServerHealth::NotServing));
  verification_.onHealthCheck(check("i-1", ServerHealth::Unknown));
  now_ += seconds(60);
  EXPECT_FALSE(ground());
}

TEST_F(InstanceVerificationTest, ServerThatHasRecoveredIsUsed) {
  verification_.onEarlierRecord();
  verification_.onReport(report("i-1", 7), now_);
  verification_.onHealthCheck(check("i-1", ServerHealth::NotServing));
  verification_.onHealthCheck(check("i-1", ServerHealth::Serving));
  EXPECT_EQ(ground(), VerificationGround::HealthCheck);
}

// A server that has left sends no further reports.
TEST_F(InstanceVerificationTest, FailingServerThatReportsForLongerThanAReportIsLateIsUsed) {
  verification_.onEarlierRecord();
  for (std::uint64_t sequence = 7; sequence <= 14; ++sequence) {
    verification_.onReport(report("i-1", sequence), now_);
    verification_.onHealthCheck(check("i-1", ServerHealth::NotServing));
    EXPECT_EQ(ground().has_value(), sequence == 14) << sequence;
    now_ += milliseconds(1500);
  }
  EXPECT_EQ(ground(), VerificationGround::StillReporting);
}

// Guards against a pause of a second at each restart beside a full server.
TEST_F(InstanceVerificationTest, FullServerThatRejectsTheHealthCheckIsUsedAtOnce) {
  verification_.onEarlierRecord();
  verification_.onReport(report("i-1", 7), now_);
  EXPECT_FALSE(ground());
  verification_.onHealthCheck(check("i-1", ServerHealth::Unknown));
  EXPECT_EQ(ground(), VerificationGround::NothingKnown);
}

TEST_F(InstanceVerificationTest, FullServerIsNotUsedBeforeTheRecordIsRead) {
  verification_.onReport(report("i-1", 7), now_);
  verification_.onHealthCheck(check("i-1", ServerHealth::Unknown));
  now_ += seconds(9);
  EXPECT_FALSE(ground());
  verification_.onEarlierRecord();
  EXPECT_EQ(ground(), VerificationGround::NothingKnown);
}

TEST_F(InstanceVerificationTest, ServerThatDoesNotAnswerTheHealthCheckIsUsedAfterASecond) {
  verification_.onEarlierRecord();
  verification_.onReport(report("i-1", 7), now_);
  verification_.onHealthCheck(check("", ServerHealth::Unknown));
  now_ += milliseconds(999);
  EXPECT_FALSE(ground());
  now_ += milliseconds(1);
  EXPECT_EQ(ground(), VerificationGround::NothingKnown);
}

// Neither the record nor the server says anything: a notice may have been acknowledged.
TEST_F(InstanceVerificationTest, UnknownServerIsNotUsedWhileTheStoreIsUnavailable) {
  verification_.onReport(report("i-1", 7), now_);
  verification_.onHealthCheck(check("", ServerHealth::Unknown));
  now_ += seconds(9);
  EXPECT_FALSE(ground());
  verification_.onEarlierRecord();
  EXPECT_EQ(ground(), VerificationGround::NothingKnown);
}

TEST_F(InstanceVerificationTest, ServerThatKeepsReportingIsUsedThoughTheStoreStaysUnavailable) {
  verification_.onReport(report("i-1", 7), now_);
  now_ += seconds(10);
  EXPECT_FALSE(ground());
  verification_.onReport(report("i-1", 8), now_);
  EXPECT_EQ(ground(), VerificationGround::StillReporting);
}

TEST_F(InstanceVerificationTest, ServerThatSaysItIsLeavingHandsItsKeysOver) {
  verification_.onEarlierRecord();
  verification_.onReport(report("i-1", 7), now_);
  HealthCheckResult leaving = check("i-1", ServerHealth::NotServing);
  leaving.condition->leaving = true;
  verification_.onHealthCheck(leaving);
  EXPECT_EQ(ground(), VerificationGround::SaysLeaving);
}

// A late report of an ended instance arrives first, while its successor already runs at the address.
TEST_F(InstanceVerificationTest, ReportOfTheInstanceThatAnswersReplacesALateOne) {
  verification_.onEarlierRecord();
  verification_.onReport(report("i-1", 7), now_);
  verification_.onHealthCheck(check("i-2", ServerHealth::Serving));
  now_ += seconds(60);
  EXPECT_FALSE(ground());
  EXPECT_FALSE(verification_.onReport(report("i-3", 1), now_));
  EXPECT_TRUE(verification_.onReport(report("i-2", 1), now_));
  EXPECT_EQ(verification_.pending()->instance, InstanceId("i-2"));
  EXPECT_FALSE(ground());
  verification_.onHealthCheck(check("i-2", ServerHealth::Serving));
  EXPECT_EQ(ground(), VerificationGround::HealthCheck);
}

TEST_F(InstanceVerificationTest, NewestReportOfAnInstanceIsUsed) {
  verification_.onReport(report("i-1", 7), now_);
  EXPECT_TRUE(verification_.onReport(report("i-1", 8), now_));
  EXPECT_FALSE(verification_.onReport(report("i-1", 6), now_));
  EXPECT_EQ(verification_.pending()->sequence, 8U);
}

TEST_F(InstanceVerificationTest, NothingIsVerifiedOnceAServerIsInUse) {
  verification_.onReport(report("i-1", 7), now_);
  EXPECT_FALSE(verification_.finished());
  verification_.finish();
  EXPECT_TRUE(verification_.finished());
  EXPECT_FALSE(ground());
}

}  // namespace
}  // namespace shedlever::test
