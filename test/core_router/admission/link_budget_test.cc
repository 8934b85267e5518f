/// @file
/// Rate limit of a slow link, and estimated response sizes.

#include "source/core/router/admission/link_budget.h"

#include <gtest/gtest.h>

#include "source/core/router/admission/response_size_estimator.h"

namespace shedlever {
namespace {

using std::chrono::milliseconds;

LinkConfig slowLink() {
  LinkConfig config;
  config.bytes_per_second = 1'000'000;
  config.used_fraction = 1.0;
  config.min_burst_bytes = 10'000;
  config.burst = milliseconds(10);
  return config;
}

TEST(LinkBudgetTest, IsAvailableOnceTheLinkHasTransmittedTheSpentBytes) {
  LinkBudget budget(slowLink());
  const TimePoint start{std::chrono::seconds(5)};
  EXPECT_EQ(budget.timeUntilAvailable(start), Duration::zero());
  budget.spend(30'000, start);
  EXPECT_EQ(budget.timeUntilAvailable(start), milliseconds(20));
  EXPECT_GT(budget.timeUntilAvailable(start + milliseconds(19)), Duration::zero());
  EXPECT_EQ(budget.timeUntilAvailable(start + milliseconds(21)), Duration::zero());
}

TEST(LinkBudgetTest, IdleTimeAccumulatesNoMoreThanTheBurst) {
  LinkBudget budget(slowLink());
  const TimePoint start{std::chrono::seconds(5)};
  budget.spend(1, start);
  const TimePoint later = start + std::chrono::hours(1);
  budget.spend(20'000, later);
  EXPECT_EQ(budget.timeUntilAvailable(later), milliseconds(10));
}

TEST(LinkBudgetTest, LinkWithoutALimitIsAlwaysAvailable) {
  LinkBudget budget(LinkConfig{});
  budget.spend(1U << 30U, TimePoint(milliseconds(1)));
  EXPECT_EQ(budget.timeUntilAvailable(TimePoint(milliseconds(1))), Duration::zero());
  EXPECT_EQ(budget.transmissionTime(1e9), Duration::zero());
}

TEST(ResponseSizeEstimatorTest, ExpectsZeroBytesForSmallResponses) {
  ResponseSizeEstimator sizes;
  EXPECT_EQ(sizes.expectedBytes(RouteKind::Download), 0);
  sizes.record(RouteKind::Idempotent, 1500);
  sizes.record(RouteKind::Download, 90'000);
  EXPECT_EQ(sizes.expectedBytes(RouteKind::Idempotent), 0);
  EXPECT_EQ(sizes.expectedBytes(RouteKind::Download), 90'000);
}

}  // namespace
}  // namespace shedlever
