/// @file
/// Tenants share a full server by weight, and one tenant's surge waits behind itself.

#include <gtest/gtest.h>

#include <map>

#include "source/core/router/slot_queue.h"

namespace shedlever {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::seconds(10)};
constexpr Duration kPatience = std::chrono::hours(1);

TenantShare tenant(const std::string& name, std::uint32_t weight, std::uint32_t limit = 0) {
  return {TenantName(name), weight, limit};
}

/// Serves one request after the other. @return how many of each tenant were among the first `count`.
std::map<std::string, int> served(SlotQueue& queue, const std::map<QueueTicket, std::string>& owners, int count) {
  std::map<std::string, int> counts;
  for (int i = 0; i < count; ++i) {
    queue.onRequestEnded(std::nullopt);
    const auto ticket = queue.startNext(kNow);
    if (!ticket) {
      break;
    }
    ++counts[owners.at(*ticket)];
  }
  return counts;
}

TEST(TenantFairSchedulerTest, SlotsGoByWeightHoweverManyWait) {
  SlotQueue queue(1);
  std::map<QueueTicket, std::string> owners;
  QueueTicket ticket = 0;
  queue.admit(++ticket, tenant("first", 1), {0, 0, {}, kNow + kPatience}, kNow, kPatience);
  for (int i = 0; i < 90; ++i) {
    owners[++ticket] = "surging";
    queue.admit(ticket, tenant("surging", 1), {0, 0, {}, kNow + kPatience}, kNow, kPatience);
  }
  for (int i = 0; i < 30; ++i) {
    owners[++ticket] = "steady";
    queue.admit(ticket, tenant("steady", 2), {0, 0, {}, kNow + kPatience}, kNow, kPatience);
  }
  const std::map<std::string, int> counts = served(queue, owners, 30);
  EXPECT_NEAR(counts.at("steady"), 20, 1);
  EXPECT_NEAR(counts.at("surging"), 10, 1);
}

TEST(TenantFairSchedulerTest, PriorityGoesBeforeTurns) {
  SlotQueue queue(1);
  queue.admit(1, tenant("a", 1), {0, 0, {}, kNow + kPatience}, kNow, kPatience);
  for (QueueTicket ticket = 2; ticket < 6; ++ticket) {
    queue.admit(ticket, tenant("a", 1), {1, 0, {}, kNow + kPatience}, kNow, kPatience);
  }
  queue.admit(6, tenant("a", 1), {0, 0, {}, kNow + kPatience}, kNow, kPatience);
  queue.onRequestEnded(std::nullopt);
  EXPECT_EQ(queue.startNext(kNow), 6U);
}

TEST(TenantFairSchedulerTest, FullTenantIsRefusedAloneAndMayComeBack) {
  SlotQueue queue(1);
  queue.admit(1, tenant("a", 1, 2), {0, 0, {}, kNow + kPatience}, kNow, kPatience);
  EXPECT_EQ(queue.admit(2, tenant("a", 1, 2), {}, kNow, kPatience).verdict, QueueVerdict::Wait);
  EXPECT_EQ(queue.admit(3, tenant("a", 1, 2), {}, kNow, kPatience).verdict, QueueVerdict::Wait);
  EXPECT_EQ(queue.admit(4, tenant("a", 1, 2), {}, kNow, kPatience).verdict, QueueVerdict::TenantFull);
  EXPECT_EQ(queue.admit(5, tenant("b", 1, 2), {}, kNow, kPatience).verdict, QueueVerdict::Wait);
  EXPECT_TRUE(queue.remove(3));
  EXPECT_EQ(queue.admit(6, tenant("a", 1, 2), {}, kNow, kPatience).verdict, QueueVerdict::Wait);
}

TEST(TenantFairSchedulerTest, IdleTimeEarnsNoCredit) {
  SlotQueue queue(1);
  std::map<QueueTicket, std::string> owners;
  QueueTicket ticket = 0;
  queue.admit(++ticket, tenant("first", 1), {0, 0, {}, kNow + kPatience}, kNow, kPatience);
  for (int i = 0; i < 50; ++i) {
    owners[++ticket] = "busy";
    queue.admit(ticket, tenant("busy", 1), {0, 0, {}, kNow + kPatience}, kNow, kPatience);
  }
  served(queue, owners, 30);
  for (int i = 0; i < 50; ++i) {
    owners[++ticket] = "late";
    queue.admit(ticket, tenant("late", 1), {0, 0, {}, kNow + kPatience}, kNow, kPatience);
  }
  const std::map<std::string, int> counts = served(queue, owners, 20);
  EXPECT_NEAR(counts.at("late"), 10, 1);
}

}  // namespace
}  // namespace shedlever
