/// @file
/// The predicted wait for a slot, with and without requests that overtake.

#include "source/core/router/admission/wait_forecast.h"

#include <gtest/gtest.h>

#include <limits>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::seconds(10)};
constexpr double kAlways = std::numeric_limits<double>::infinity();

class WaitForecastTest : public ::testing::Test {
 protected:
  WaitForecast forecast(const WorkAhead& ahead, const std::vector<OvertakingFlow>& flows = {}) const {
    return forecastWait({4, start_rate_, kNow}, ahead, flows);
  }

  StartRateLimiter start_rate_;
};

TEST_F(WaitForecastTest, WithoutOvertakingTheWorkAheadIsSharedByTheSlots) {
  const WaitForecast wait = forecast({8, 0.8, 0.08, 0});
  EXPECT_EQ(wait.expected, milliseconds(200));
  EXPECT_EQ(wait.overtaking, Duration::zero());
  // Deviations of 80 ms together, shared by 4 slots.
  EXPECT_NEAR(static_cast<double>(wait.deviation.count()), 20'000, 1);
}

// 20 requests per second of 100 ms take 2 of 4 slots, so that the wait doubles.
TEST_F(WaitForecastTest, LaterArrivalsThatOvertakeTakeTheirShareOfTheSlots) {
  const WaitForecast wait = forecast({8, 0.8, 0, 0}, {{20, 0.1, 0, kAlways}});
  EXPECT_NEAR(static_cast<double>(wait.expected.count()), 400'000, 3'000);
  EXPECT_EQ(wait.overtaking, wait.expected - milliseconds(200));
  EXPECT_GT(wait.deviation, Duration::zero());
}

TEST_F(WaitForecastTest, OnlyArrivalsWithinTheWindowOvertake) {
  const WaitForecast wait = forecast({8, 0.8, 0, 0}, {{40, 0.1, 0, 0.1}});
  EXPECT_NEAR(static_cast<double>(wait.expected.count()), 300'000, 3'000);
}

TEST_F(WaitForecastTest, WaitIsBoundedWhenOvertakingRequestsTakeAllSlots) {
  EXPECT_EQ(forecast({1, 0.4, 0, 0}, {{80, 0.1, 0, kAlways}}).expected, kMaxForecast);
}

// Guards against a prediction by slots alone while a cold or a named limit admits fewer requests.
TEST_F(WaitForecastTest, StartLimitLengthensTheWait) {
  start_rate_.setNamedLimit(4);
  start_rate_.onStart(kNow);
  start_rate_.onStart(kNow);
  const Duration alone = forecast({2, 0.2, 0, 0}).expected;
  EXPECT_EQ(alone, milliseconds(1000));
  EXPECT_GE(forecast({2, 0.2, 0, 0}, {{2, 0.1, 0, kAlways}}).expected, milliseconds(1500));
}

}  // namespace
}  // namespace shedlever::test
