/// @file
/// Tests that the history checker detects each kind of violation and accepts a correct history.

#include "source/lab/check/history_checker.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace shedlever::check::test {
namespace {

class HistoryCheckerTest : public ::testing::Test {
 protected:
  HistoryCheckerTest() : path_(std::filesystem::temp_directory_path() / ("run-checks-" + std::to_string(getpid()))) {}
  ~HistoryCheckerTest() override { std::filesystem::remove(path_); }

  void log(const std::string& lines) {
    std::ofstream(path_) << lines;
    checks_.readLog(path_.string());
  }

  void expectOneViolation(const std::string& part) {
    const auto violations = checks_.violations();
    ASSERT_EQ(violations.size(), 1U);
    EXPECT_NE(violations.front().find(part), std::string::npos) << violations.front();
  }

  std::filesystem::path path_;
  HistoryChecker checks_;
};

TEST_F(HistoryCheckerTest, CorrectHistoryHasNoViolations) {
  log("1000 i-1 take 0 99 5\n2000 i-1 begin r1 7 5\n9000 i-2 take 0 99 7\n10000 i-2 begin r2 7 7\n");
  checks_.addClientRecord({"r1", true, 200, "answer to r1"});
  checks_.addClientRecord({"r2", false, 200, "answer to r2"});
  checks_.addClientRecord({"r3", true, 503, ""});
  checks_.addClientRecord({"r4", true, 0, ""});
  EXPECT_TRUE(checks_.violations().empty());
  EXPECT_EQ(checks_.counts().served, 2U);
  EXPECT_EQ(checks_.counts().unanswered, 1U);
}

TEST_F(HistoryCheckerTest, RequestExecutedTwiceIsReported) {
  log("1 i-1 begin r1 -1 0\n2 i-2 begin r1 -1 0\n");
  checks_.addClientRecord({"r1", true, 502, ""});
  expectOneViolation("ran 2 times");
}

TEST_F(HistoryCheckerTest, RefusedRequestThatRanIsReported) {
  log("1 i-1 begin r1 -1 0\n");
  checks_.addClientRecord({"r1", true, 503, ""});
  expectOneViolation("refused as not run");
}

TEST_F(HistoryCheckerTest, ResponseToAnotherRequestIsReported) {
  log("1 i-1 begin r1 -1 0\n");
  checks_.addClientRecord({"r1", false, 200, "answer to r2"});
  expectOneViolation("not its own");
}

TEST_F(HistoryCheckerTest, InterruptedRequestsAreReported) {
  log("1 i-1 begin r1 -1 0\n2 i-1 begin r2 -1 0\n3 i-1 begin r3 -1 0\n4 i-1 begin r5 -1 0\n");
  checks_.addClientRecord({"r1", false, 502, ""});
  checks_.addClientRecord({"r2", false, 504, "", true});
  checks_.addClientRecord({"r3", false, 200, "answer to r3"});
  checks_.addClientRecord({"r4", false, 0, ""});
  checks_.addClientRecord({"r5", false, 0, ""});
  const auto cut = checks_.interruptedRequests();
  ASSERT_EQ(cut.size(), 2U);
  EXPECT_NE(cut[0].find("r1"), std::string::npos);
  EXPECT_NE(cut[1].find("r5"), std::string::npos);
}

TEST_F(HistoryCheckerTest, RouterResponseBeforeOrDuringTheExecutionIsReportedAsInterruption) {
  checks_.addClientRecord({"r1", true, 502, ""});
  checks_.addClientRecord({"r2", false, 503, ""});
  checks_.addClientRecord({"r3", false, 503, ""});
  log("1 i-1 begin r1 -1 0\n2 i-1 begin r2 -1 0\n");
  const auto interrupted = checks_.interruptedRequests();
  ASSERT_EQ(interrupted.size(), 2U);
  EXPECT_NE(interrupted[0].find("r1"), std::string::npos);
  EXPECT_NE(interrupted[1].find("r2"), std::string::npos);
}

TEST_F(HistoryCheckerTest, ExecutionByPreviousOwnerIsReported) {
  log("1000 i-1 begin r1 7 5\n5000 i-2 begin r2 7 7\n9000 i-1 begin r3 7 5\n");
  expectOneViolation("key 7");
}

TEST_F(HistoryCheckerTest, AcquisitionWithEqualTokenIsReported) {
  log("1000 i-1 take 0 99 5\n2000 i-2 take 50 60 5\n");
  expectOneViolation("not above");
}

}  // namespace
}  // namespace shedlever::check::test
