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

  /// Adds a second server's log, as that of another node.
  void logOfOtherNode(const std::string& lines) { log(lines); }

  void expectNoViolation() {
    const auto violations = checks_.violations();
    EXPECT_TRUE(violations.empty()) << violations.front();
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

TEST_F(HistoryCheckerTest, TokenBelowThatOfAnotherServerIsReportedThoughTheServerItselfHadAHigherOne) {
  log("1000 i-1 take 0 99 5\n2000 i-2 take 0 99 7\n3000 i-1 take 0 99 9\n4000 i-1 take 0 99 6\n");
  expectOneViolation("token 6, not above that of another server: i-2 had token 7");
}

TEST_F(HistoryCheckerTest, TokenOfAnEarlierInstanceOfTheSameServerIsReported) {
  log("1000 i-1/10 take 0 99 5 2000\n5000 i-1/20 take 0 99 5 9000\n6000 i-1/20 begin r1 7 5\n");
  expectOneViolation("i-1/20 took keys 0-99 at 5000 us with token 5, not above that of another server: i-1/10");
}

TEST_F(HistoryCheckerTest, TokenOfLateGrantIsNotReported) {
  log("1000 i-1 take 0 99 5 2000\n5000 i-2 take 0 99 7 9000\n9500 i-1 late-take 0 99 5 12000\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, BothServersBeginRequestsWhileBothHoldTheKeyIsReported) {
  log("1000 i-1 take 0 99 5 400000\n2000 i-1 begin r1 7 5\n2500 i-1 end r1 7\n");
  logOfOtherNode("3000 i-2 take 50 200 7 500000\n4000 i-2 begin r2 60 7\n4500 i-2 end r2 60\n");
  logOfOtherNode("5000 i-1 begin r3 99 5\n5500 i-1 end r3 99\n600000 i-1 down\n");
  expectOneViolation(
      "i-1 with token 5 and i-2 with token 7 both held keys 50-99 from 3000 to 400000 us, for 397000 us; meanwhile "
      "they began 1 and 1 requests");
}

TEST_F(HistoryCheckerTest, RequestsOfOneServerOrOutsideTheSharedKeysAreNotReported) {
  log("1000 i-1 take 0 99 5 400000\n4000 i-1 begin r1 7 5\n4500 i-1 end r1 7\n");
  logOfOtherNode("3000 i-2 take 50 200 7 500000\n4000 i-2 begin r2 60 7\n4500 i-2 end r2 60\n600000 i-2 down\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, HoldsThatTouchAtTheSameMicrosecondDoNotOverlap) {
  log("1000 i-1 take 0 99 5 900000\n2000 i-1 begin r1 7 5\n2001 i-1 end r1 7\n");
  logOfOtherNode("900000 i-2 take 0 99 7 1900000\n900000 i-2 begin r2 7 7\n2000000 i-2 down\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, HoldThatBeginsOneMicrosecondBeforeTheOtherEndsOverlaps) {
  log("1000 i-1 take 0 99 5 900000\n899999 i-1 begin r1 7 5\n");
  logOfOtherNode("899999 i-2 take 0 99 7 1900000\n899999 i-2 begin r2 7 7\n2000000 i-2 down\n");
  expectOneViolation("from 899999 to 900000 us, for 1 us; meanwhile");
}

// Guards against two servers that hold keys at once without any request, which the checker could not see.
TEST_F(HistoryCheckerTest, SharedHoldOfMoreThanHalfASecondIsReportedWithoutRequests) {
  log("1000 i-1 take 0 99 5 2000000\n1000000 i-2 take 10 19 7 3000000\n1500001 i-1 release 0 99 5\n");
  expectOneViolation("both held keys 10-19 from 1000000 to 1500001 us, for 500001 us, which is longer than 500 ms");
}

TEST_F(HistoryCheckerTest, SharedHoldOfHalfASecondWithoutRequestsIsNotReported) {
  log("1000 i-1 take 0 99 5 2000000\n1000000 i-2 take 10 19 7 3000000\n1500000 i-1 release 0 99 5\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, RenewalExtendsTheHold) {
  log("1000 i-1 take 0 99 5 1000000\n800000 i-1 take 0 99 5 1800000\n"
      "1100000 i-2 take 0 99 7 2100000\n2000000 i-2 down\n");
  expectOneViolation("from 1100000 to 1800000 us, for 700000 us");
}

TEST_F(HistoryCheckerTest, ReleaseOfPartOfTheRangeEndsTheHoldOfThatPartAlone) {
  log("1000 i-1 take 0 99 5 2000000\n5000 i-1 release 20 29 5\n5000 i-1 released 20 29 5\n"
      "6000 i-2 take 20 29 7 2000000\n7000 i-2 begin r1 25 7\n8000 i-1 begin r2 19 5\n1900000 i-2 down\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, PartOfTheRangeThatWasNotReleasedIsReported) {
  log("1000 i-1 take 0 99 5 2000000\n5000 i-1 release 20 29 5\n5000 i-1 released 20 29 5\n"
      "6000 i-2 take 20 30 7 2000000\n1900000 i-2 down\n");
  expectOneViolation("both held keys 30-30 from 6000 to 1900000 us");
}

TEST_F(HistoryCheckerTest, KilledServerHoldsNoKeysFromTheSignalOn) {
  log("500 i-1/1 up i-1 77\n1000 i-1/1 take 0 99 5 2000000\n1500 i-1/1 begin r1 7 5\n"
      "5000 server killed 77\n");
  logOfOtherNode("5000 i-2/1 take 0 99 7 2000000\n5001 i-2/1 begin r2 7 7\n1900000 i-2/1 down\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, KilledServerHoldsItsKeysUntilTheSignal) {
  log("500 i-1/1 up i-1 77\n1000 i-1/1 take 0 99 5 2000000\n1000000 server killed 77\n");
  logOfOtherNode("400000 i-2/1 take 0 99 7 2000000\n1900000 i-2/1 down\n");
  expectOneViolation("from 400000 to 1000000 us, for 600000 us");
}

TEST_F(HistoryCheckerTest, KillOfAnotherProcessOrOfAnotherNodeDoesNotEndTheHold) {
  log("500 i-1/1 up i-1 77\n1000 i-1/1 take 0 99 5 2000000\n2000 server killed 78\n");
  logOfOtherNode("2000 server killed 77\n400000 i-2/1 take 0 99 7 2000000\n1900000 i-2/1 down\n");
  expectOneViolation("from 400000 to 1900000 us");
}

TEST_F(HistoryCheckerTest, ServerThatEndsInOrderHoldsNoKeysAfterwards) {
  log("1000 i-1 take 0 99 5 2000000\n5000 i-1 down\n5000 i-2 take 0 99 7 2000000\n1900000 i-2 down\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, SuccessorAtTheSameAddressBesideTheOldInstanceIsReported) {
  log("500 i-1/1 up i-1 77\n1000 i-1/1 take 0 99 5 2000000\n3000 i-1/1 stop-listening\n4000 i-1/2 up i-1 78\n"
      "5000 i-1/2 take 0 99 7 2000000\n1900000 i-1/2 down\n");
  expectOneViolation("i-1/1 with token 5 and i-1/2 with token 7 both held keys 0-99 from 5000 to 1900000 us");
}

// Guards against keys that are given away while their server still works on them, which the checker could not see.
TEST_F(HistoryCheckerTest, KeyGivenWhileAnotherServerIsAtWorkBeforeItsHoldHasRunOutIsReported) {
  log("1000 i-1 take 0 99 5 2000000\n2000 i-1 begin r1 7 5\n3000 i-1 release 0 99 5\n"
      "4000 i-2 take 0 99 7 1000000\n9000 i-1 end r1 7\n9000 i-1 released 0 99 5\n");
  expectOneViolation("keys 0-99 were given to i-2 with token 7 at 4000 us while i-1 was at work on key 7 with token 5");
}

TEST_F(HistoryCheckerTest, KeyGivenAfterTheWorkHasEndedOrTheHoldHasRunOutIsNotReported) {
  log("1000 i-1 take 0 99 5 9000\n2000 i-1 begin r1 7 5\n2000 i-1 begin r2 60 5\n3000 i-1 release 0 49 5\n"
      "4000 i-1 end r1 7\n4000 i-1 released 0 49 5\n4000 i-2 take 0 49 7 5000\n9000 i-2 take 50 99 8 9500\n"
      "10000 i-1 end r2 60\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, LateGrantIsNoHold) {
  log("1000 i-1 take 0 99 5 2000000\n2000 i-1 release 0 99 5\n2000 i-1 released 0 99 5\n"
      "3000 i-2 take 0 99 7 2000000\n4000 i-1 late-take 0 99 5 2000000\n1900000 i-2 down\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, LateRenewalDoesNotExtendTheHold) {
  log("1000 i-1 take 0 99 5 1000000\n900000 i-1 late-take 0 99 5 1900000\n"
      "1000000 i-2 take 0 99 7 2000000\n1900000 i-2 down\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, GrantWithinTheSlackAfterTheRouterWasResumedIsNoHold) {
  log("1000 i-1 take 0 99 5 1000000\n900000 router resumed\n1200000 i-1 take 0 99 5 2200000\n");
  logOfOtherNode("1000000 i-2 take 0 99 7 2000000\n1900000 i-2 down\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, GrantAfterTheSlackOrBesideAnotherNodesResumedRouterIsAHold) {
  log("1000 i-1 take 0 99 5 1000000\n900000 router resumed\n1200001 i-1 take 0 99 8 2200000\n");
  logOfOtherNode("1000000 i-2 take 0 99 7 2000000\n1200001 router resumed\n1900000 i-2 down\n");
  expectOneViolation("from 1200001 to 1900000 us");
}

TEST_F(HistoryCheckerTest, HoldsAreJudgedUpToTheLastEventAlone) {
  log("1000 i-1 take 0 99 5 2000000\n1000000 i-2 take 10 19 7 3000000\n1500000 i-2 begin r1 90 7\n");
  expectNoViolation();
}

TEST_F(HistoryCheckerTest, GrantsWithoutAnEndAreReadAndNotJudgedAsHolds) {
  log("1000 i-1 take 0 99 5\n2000 i-2 take 0 99 7\n9000000 i-2 begin r1 7 7\n");
  expectNoViolation();
  EXPECT_EQ(checks_.counts().acquisitions, 2U);
}

TEST_F(HistoryCheckerTest, HundredThousandLinesWithManyRangesAreRead) {
  std::string lines;
  constexpr int kLines = 100'000;
  constexpr int kKeysOfARange = 256;
  for (int i = 0; i < kLines; ++i) {
    const int first = i % 256 * kKeysOfARange;
    lines += std::to_string(1000 * i) + " i-1 take " + std::to_string(first) + " " +
             std::to_string(first + kKeysOfARange - 1) + " 5 " + std::to_string(1000 * i + 500'000) + "\n";
  }
  lines += "100000000 i-2 take 0 65535 7 200000000\n100400000 i-2 down\n";
  log(lines);
  expectNoViolation();
}

}  // namespace
}  // namespace shedlever::check::test
