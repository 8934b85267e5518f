/// @file
/// Which node holds a tenant's quota, and which part of it may be granted while nodes can't be reached.

#include "source/core/router/quota/quota_placement.h"

#include <gtest/gtest.h>

#include <string>

namespace shedlever::test {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

std::vector<QuotaNode> nodes(std::size_t count, std::size_t unreachable = 0) {
  std::vector<QuotaNode> made;
  for (std::size_t i = 0; i < count; ++i) {
    made.push_back({NodeName("n" + std::to_string(i)), i >= unreachable});
  }
  return made;
}

TEST(QuotaPlacementTest, TenantsAreSpreadOverTheNodes) {
  QuotaPlacement placement;
  placement.update(nodes(10), kStart);
  std::map<NodeName, int> held;
  for (int tenant = 0; tenant < 1000; ++tenant) {
    ++held[*placement.holderOf(TenantName("t" + std::to_string(tenant)), {})];
  }
  ASSERT_EQ(held.size(), 10U);
  for (const auto& [node, count] : held) {
    EXPECT_NEAR(count, 100, 50);
  }
}

TEST(QuotaPlacementTest, LostNodeMovesOnlyTheTenantsThatItHeld) {
  QuotaPlacement before;
  QuotaPlacement after;
  before.update(nodes(10), kStart);
  after.update(nodes(10, 1), kStart);
  for (int tenant = 0; tenant < 200; ++tenant) {
    const TenantName name("t" + std::to_string(tenant));
    const NodeName holder = *before.holderOf(name, {});
    if (holder != NodeName("n0")) {
      EXPECT_EQ(after.holderOf(name, {}), holder);
    }
    EXPECT_NE(after.holderOf(name, {}), NodeName("n0"));
    EXPECT_EQ(after.holderOf(name, {}), before.holderOf(name, {NodeName("n0")}));
  }
}

TEST(QuotaPlacementTest, NobodyHoldsAQuotaWhereNoNodeCan) {
  QuotaPlacement placement;
  EXPECT_EQ(placement.holderOf(TenantName("t"), {}), std::nullopt);
  EXPECT_EQ(placement.share(kStart), 0);
}

// Guards against both sides of a network partition granting the whole quota.
TEST(QuotaPlacementTest, SidesOfAPartitionTogetherGrantNoMoreThanTheQuota) {
  for (const std::size_t cut : {1U, 3U, 5U, 7U, 9U}) {
    QuotaPlacement one;
    QuotaPlacement other;
    one.update(nodes(10, cut), kStart);
    other.update(nodes(10, 10 - cut), kStart);
    for (const Duration passed : {seconds(0), seconds(5), seconds(20)}) {
      EXPECT_LE(one.share(kStart + passed) + other.share(kStart + passed), 1.0) << cut;
    }
  }
}

// Guards against the quota staying reduced for ever once machines are gone for good.
TEST(QuotaPlacementTest, NodesLostForGoodReduceTheQuotaForAWhileOnly) {
  QuotaPlacement placement;
  placement.update(nodes(10, 3), kStart);
  EXPECT_DOUBLE_EQ(placement.share(kStart), 0.7);
  placement.update(nodes(10, 3), kStart + seconds(11));
  EXPECT_DOUBLE_EQ(placement.share(kStart + seconds(11)), 1.0);
  placement.update(nodes(10), kStart + seconds(12));
  EXPECT_DOUBLE_EQ(placement.share(kStart + seconds(12)), 1.0);
}

}  // namespace
}  // namespace shedlever::test
