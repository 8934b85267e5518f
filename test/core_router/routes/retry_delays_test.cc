#include "source/core/router/routes/retry_delays.h"

#include <gtest/gtest.h>

#include <set>

#include "source/lab/sim/simulated_cluster.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RetryDelaysTest, ClientsThatAreRefusedTogetherComeBackSpreadOverTwiceTheDelay) {
  sim::SeededRandom random(1);
  RetryDelays delays(random);
  std::set<Duration> seen;
  for (int i = 0; i < 100; ++i) {
    const Duration delay = delays.next(milliseconds(200), seconds(60));
    EXPECT_GE(delay, milliseconds(200));
    EXPECT_LE(delay, milliseconds(400));
    seen.insert(delay);
  }
  EXPECT_GT(seen.size(), 50U);
}

TEST(RetryDelaysTest, DelayIsOneThatTheClientStillHonours) {
  sim::SeededRandom random(1);
  RetryDelays delays(random);
  EXPECT_EQ(delays.next(seconds(3), seconds(2)), milliseconds(500));
  EXPECT_EQ(delays.next(seconds(3), Duration::zero()), Duration::zero());
}

TEST(RetryDelaysTest, DelayWithoutLimitIsToldWhole) {
  sim::SeededRandom random(1);
  RetryDelays delays(random);
  EXPECT_GE(delays.nextWithoutLimit(seconds(30)), seconds(30));
}

TEST(RetryDelaysTest, ShortDelaysAreRaisedToTheMinimum) {
  sim::SeededRandom random(1);
  RetryDelays delays(random);
  EXPECT_GE(delays.next(Duration::zero(), seconds(60)), kMinRetryAfter);
}

}  // namespace
}  // namespace shedlever::test
