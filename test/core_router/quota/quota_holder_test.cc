/// @file
/// Tokens that the holder of a tenant's quota grants.

#include "source/core/router/quota/quota_holder.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
const TenantName kTenant("a");
constexpr QuotaLimit kLimit{100, 50};

/// @return tokens granted in the time span to a tenant that asks for more than it may.
std::uint32_t grantedWithin(QuotaHolder& holder, TimePoint from, Duration span, double share = 1) {
  std::uint32_t granted = 0;
  for (TimePoint now = from; now < from + span; now += milliseconds(10)) {
    granted += holder.grant(kTenant, kLimit, 5, 0, share, now).granted;
  }
  return granted;
}

TEST(QuotaHolderTest, GrantsNoMoreThanRateAndBurst) {
  QuotaHolder holder;
  EXPECT_GE(grantedWithin(holder, kStart, seconds(10)), 1000U);
  EXPECT_LE(grantedWithin(holder, kStart + seconds(10), seconds(5)), 500U);
  // After a pause the whole burst is there.
  EXPECT_NEAR(grantedWithin(holder, kStart + seconds(30), seconds(5)), 550, 5);
}

// Guards against requests within the quota being refused: each of them would be lost.
TEST(QuotaHolderTest, GrantsEverythingBelowTheRate) {
  QuotaHolder holder;
  for (TimePoint now = kStart; now < kStart + seconds(20); now += milliseconds(11)) {
    EXPECT_EQ(holder.grant(kTenant, kLimit, 1, 0, 1, now).granted, 1U);
  }
}

TEST(QuotaHolderTest, ReturnedTokensAreGrantedAgain) {
  QuotaHolder holder;
  grantedWithin(holder, kStart, seconds(1));
  const TimePoint now = kStart + seconds(1);
  EXPECT_EQ(holder.grant(kTenant, kLimit, 20, 20, 1, now).granted, 20U);
}

TEST(QuotaHolderTest, RefusedRequestsAreToldToComeBackOneAfterTheOther) {
  QuotaHolder holder;
  while (holder.grant(kTenant, kLimit, 1, 0, 1, kStart).granted > 0) {
  }
  const Duration first = holder.grant(kTenant, kLimit, 1, 0, 1, kStart).retry_after;
  const Duration later = holder.grant(kTenant, kLimit, 50, 0, 1, kStart).retry_after;
  EXPECT_GT(first, Duration::zero());
  EXPECT_GT(later, first);
  EXPECT_LE(later, seconds(2));
}

TEST(QuotaHolderTest, HolderThatReachesAPartOfTheNodesGrantsThatPart) {
  QuotaHolder holder;
  grantedWithin(holder, kStart, seconds(1), 0.25);
  EXPECT_NEAR(grantedWithin(holder, kStart + seconds(1), seconds(4), 0.25), 100, 5);
  EXPECT_EQ(grantedWithin(holder, kStart + seconds(5), seconds(1), 0), 0U);
}

TEST(QuotaHolderTest, LowerLimitIsInForceAtOnce) {
  QuotaHolder holder;
  grantedWithin(holder, kStart, seconds(1));
  constexpr QuotaLimit kLower{10, 5};
  std::uint32_t granted = 0;
  for (TimePoint now = kStart + seconds(5); now < kStart + seconds(10); now += milliseconds(10)) {
    granted += holder.grant(kTenant, kLower, 5, 0, 1, now).granted;
  }
  EXPECT_LE(granted, 55U);
}

TEST(QuotaHolderTest, ForgetsTenantsThatHaveStopped) {
  QuotaHolder holder;
  holder.grant(kTenant, kLimit, 1, 0, 1, kStart);
  holder.removeUnused(kStart + seconds(10));
  EXPECT_EQ(holder.tenantCount(), 1U);
  holder.removeUnused(kStart + seconds(100));
  EXPECT_EQ(holder.tenantCount(), 0U);
}

}  // namespace
}  // namespace shedlever::test
