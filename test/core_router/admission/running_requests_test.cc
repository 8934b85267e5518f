/// @file
/// What the ages of running requests say about the server's speed.

#include "source/core/router/admission/running_requests.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::seconds(10)};
/// A class without samples, which is assumed to take 100 ms.
constexpr QueueClass kClass{0, milliseconds(600)};

class RunningRequestsTest : public ::testing::Test {
 protected:
  void start(QueueTicket count) {
    for (QueueTicket ticket = 1; ticket <= count; ++ticket) {
      running_.onStart(ticket, kClass, kNow);
    }
  }

  RunningRequests running_;
  QueueClassLoads loads_;
};

TEST_F(RunningRequestsTest, RequestsWithinTheirUsualTimeAreNoSlowdown) {
  start(20);
  EXPECT_EQ(running_.slowdown(loads_, kNow + milliseconds(100)), 1.0);
}

TEST_F(RunningRequestsTest, RequestsThatAllRunTooLongAreASlowdown) {
  start(20);
  EXPECT_NEAR(running_.slowdown(loads_, kNow + milliseconds(300)), 3.0, 0.01);
}

// Guards against one long request, for example a stream, that makes the queue refuse all others.
TEST_F(RunningRequestsTest, SingleRequestThatNeverEndsIsNearlyNoSlowdown) {
  start(1);
  EXPECT_LE(running_.slowdown(loads_, kNow + std::chrono::hours(1)), 1.25);
}

TEST_F(RunningRequestsTest, EndedRequestIsForgotten) {
  start(2);
  EXPECT_EQ(running_.onEnd(1), kClass);
  EXPECT_EQ(running_.onEnd(1), std::nullopt);
  EXPECT_EQ(running_.size(), 1U);
}

}  // namespace
}  // namespace shedlever::test
