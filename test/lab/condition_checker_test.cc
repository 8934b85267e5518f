/// @file
/// Guards against a checker that lets a server get more than it names, or blames what is allowed.

#include "source/lab/check/condition_checker.h"

#include <gtest/gtest.h>

namespace shedlever::check {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

class ConditionCheckerTest : public ::testing::Test {
 protected:
  void log(Duration at, const std::string& event) {
    checker_.readLine(std::to_string((kStart + at).time_since_epoch().count()) + " i-1/7 " + event);
  }

  /// Starts requests evenly from a time on.
  void startRequests(Duration from, Duration interval, int count) {
    for (int i = 0; i < count; ++i) {
      log(from + interval * i, "begin r" + std::to_string(++last_request_) + " -1 0");
    }
  }

  ConditionChecker checker_{seconds(2)};
  int last_request_ = 0;
};

TEST_F(ConditionCheckerTest, StartsWithinOneAndAHalfTimesTheLimitAreAllowed) {
  startRequests({}, milliseconds(1), 500);
  log(milliseconds(500), "limit 10");
  startRequests(milliseconds(1000), milliseconds(66), 70);
  EXPECT_TRUE(checker_.violations().empty());
  EXPECT_EQ(checker_.limitsNamed(), 1U);
}

TEST_F(ConditionCheckerTest, StartsAboveItAreAViolation) {
  log({}, "limit 10");
  startRequests(milliseconds(500), milliseconds(40), 100);
  EXPECT_EQ(checker_.violations().size(), 1U);
}

TEST_F(ConditionCheckerTest, InvalidLimitKeepsTheEarlierOne) {
  log({}, "limit 10");
  log(milliseconds(100), "limit -4");
  log(milliseconds(200), "limit many");
  startRequests(milliseconds(700), milliseconds(40), 100);
  EXPECT_EQ(checker_.violations().size(), 1U);
}

TEST_F(ConditionCheckerTest, EndedLimitAllowsAnyRate) {
  log({}, "limit 10");
  log(seconds(1), "limit -");
  startRequests(seconds(1), milliseconds(1), 1000);
  EXPECT_TRUE(checker_.violations().empty());
}

TEST_F(ConditionCheckerTest, RequestSentAfterTheDrainTimeOfItsProcessIsAViolation) {
  log({}, "leaving");
  checker_.addLeavingResponse("node-1:1", "i-1", kStart);
  checker_.addRequest("in-time", "node-1:1", kStart + seconds(2));
  checker_.addRequest("late", "node-1:1", kStart + milliseconds(2001));
  checker_.addRequest("restarted", "node-1:2", kStart + seconds(3));
  checker_.addRequest("not-told", "node-2:1", kStart + seconds(3));
  for (const char* id : {"in-time", "restarted", "not-told"}) {
    log(seconds(3), std::string("begin ") + id + " -1 0");
  }
  EXPECT_TRUE(checker_.violations().empty());
  log(seconds(3), "begin late -1 0");
  EXPECT_EQ(checker_.violations().size(), 1U);
  EXPECT_EQ(checker_.leavingServers(), 1U);
}

TEST_F(ConditionCheckerTest, ResponseOfAnEarlierInstanceWithTheSameIdBindsNobody) {
  checker_.addLeavingResponse("node-1:1", "i-1", kStart);
  checker_.addRequest("early", "node-1:1", kStart + seconds(5));
  log(seconds(5), "begin early -1 0");
  log(seconds(6), "leaving");
  EXPECT_TRUE(checker_.violations().empty());
}

}  // namespace
}  // namespace shedlever::check
