/// @file
/// The soak's checker finds what was planted, and nothing where nothing was.

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

  void expectOne(const std::string& part) {
    const auto broken = checks_.violations();
    ASSERT_EQ(broken.size(), 1U);
    EXPECT_NE(broken.front().find(part), std::string::npos) << broken.front();
  }

  std::filesystem::path path_;
  HistoryChecker checks_;
};

TEST_F(HistoryCheckerTest, SoundRunHasNoFindings) {
  log("1000 i-1 take 0 99 5\n2000 i-1 begin r1 7 5\n9000 i-2 take 0 99 7\n10000 i-2 begin r2 7 7\n");
  checks_.addClientRecord({"r1", true, 200, "answer to r1"});
  checks_.addClientRecord({"r2", false, 200, "answer to r2"});
  checks_.addClientRecord({"r3", true, 503, ""});
  checks_.addClientRecord({"r4", true, 0, ""});
  EXPECT_TRUE(checks_.violations().empty());
  EXPECT_EQ(checks_.counts().served, 2U);
  EXPECT_EQ(checks_.counts().unanswered, 1U);
}

TEST_F(HistoryCheckerTest, FindsARequestThatRanTwice) {
  log("1 i-1 begin r1 -1 0\n2 i-2 begin r1 -1 0\n");
  checks_.addClientRecord({"r1", true, 502, ""});
  expectOne("ran 2 times");
}

TEST_F(HistoryCheckerTest, FindsARefusalThatRan) {
  log("1 i-1 begin r1 -1 0\n");
  checks_.addClientRecord({"r1", true, 503, ""});
  expectOne("refused as not run");
}

TEST_F(HistoryCheckerTest, FindsAnAnswerToAnother) {
  log("1 i-1 begin r1 -1 0\n");
  checks_.addClientRecord({"r1", false, 200, "answer to r2"});
  expectOne("not its own");
}

TEST_F(HistoryCheckerTest, FindsRequestsThatWereCut) {
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

TEST_F(HistoryCheckerTest, FindsAnOwnerThatRunsAfterAnother) {
  log("1000 i-1 begin r1 7 5\n5000 i-2 begin r2 7 7\n9000 i-1 begin r3 7 5\n");
  expectOne("key 7");
}

TEST_F(HistoryCheckerTest, FindsATokenThatIsNotAboveOthers) {
  log("1000 i-1 take 0 99 5\n2000 i-2 take 50 60 5\n");
  expectOne("not above");
}

}  // namespace
}  // namespace shedlever::check::test
