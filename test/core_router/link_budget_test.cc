/// @file
/// Bytes for a slow link go out at its pace.

#include "source/core/router/link_budget.h"

#include <gtest/gtest.h>

#include "source/core/router/answer_sizes.h"

namespace shedlever {
namespace {

using std::chrono::milliseconds;

LinkConfig slowLink() {
  LinkConfig config;
  config.bytes_per_second = 1'000'000;
  config.used_share = 1.0;
  config.least_burst = 10'000;
  config.burst = milliseconds(10);
  return config;
}

TEST(LinkBudgetTest, OpensWhenTheLinkHasCarriedWhatWasHandedOver) {
  LinkBudget budget(slowLink());
  const TimePoint start{std::chrono::seconds(5)};
  EXPECT_EQ(budget.untilOpen(start), Duration::zero());
  budget.spend(30'000, start);
  EXPECT_EQ(budget.untilOpen(start), milliseconds(20));
  EXPECT_GT(budget.untilOpen(start + milliseconds(19)), Duration::zero());
  EXPECT_EQ(budget.untilOpen(start + milliseconds(21)), Duration::zero());
}

TEST(LinkBudgetTest, RestSavesNoMoreThanTheBurst) {
  LinkBudget budget(slowLink());
  const TimePoint start{std::chrono::seconds(5)};
  budget.spend(1, start);
  const TimePoint later = start + std::chrono::hours(1);
  budget.spend(20'000, later);
  EXPECT_EQ(budget.untilOpen(later), milliseconds(10));
}

TEST(LinkBudgetTest, LinkWithoutALimitIsAlwaysOpen) {
  LinkBudget budget(LinkConfig{});
  budget.spend(1U << 30U, TimePoint(milliseconds(1)));
  EXPECT_EQ(budget.untilOpen(TimePoint(milliseconds(1))), Duration::zero());
  EXPECT_EQ(budget.timeFor(1e9), Duration::zero());
}

TEST(AnswerSizesTest, OnlyLargeAnswersAreExpected) {
  AnswerSizes sizes;
  EXPECT_EQ(sizes.expected(RouteKind::Download), 0);
  sizes.note(RouteKind::Idempotent, 1500);
  sizes.note(RouteKind::Download, 90'000);
  EXPECT_EQ(sizes.expected(RouteKind::Idempotent), 0);
  EXPECT_EQ(sizes.expected(RouteKind::Download), 90'000);
}

}  // namespace
}  // namespace shedlever
