/// @file
/// Tenants share a busy server by weight, and a burst of one tenant does not delay the others.

#include <gtest/gtest.h>

#include <map>

#include "source/core/router/admission/slot_queue.h"

namespace shedlever {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::seconds(10)};
constexpr Duration kMaxWait = std::chrono::hours(1);

TenantShare tenant(const std::string& name, std::uint32_t weight, std::uint32_t limit = 0) {
  return {TenantName(name), weight, limit};
}

/// Ends the running request, then serves up to `count` requests one after the other. @return number of served requests
/// by tenant.
std::map<std::string, int> serve(SlotQueue& queue, const std::map<QueueTicket, std::string>& owners, int count,
                                 QueueTicket& running) {
  std::map<std::string, int> counts;
  for (int i = 0; i < count; ++i) {
    queue.onRequestEnded(running, std::nullopt);
    const auto ticket = queue.startNext(kNow);
    if (!ticket) {
      break;
    }
    running = *ticket;
    ++counts[owners.at(running)];
  }
  return counts;
}

TEST(TenantFairSchedulerTest, SlotsAreSharedByWeightHoweverManyRequestsWait) {
  SlotQueue queue(1);
  std::map<QueueTicket, std::string> owners;
  QueueTicket ticket = 0;
  queue.admit(++ticket, tenant("first", 1), {0, 0, {}, kNow}, kNow, kMaxWait);
  for (int i = 0; i < 90; ++i) {
    owners[++ticket] = "bursting";
    queue.admit(ticket, tenant("bursting", 1), {0, 0, {}, kNow}, kNow, kMaxWait);
  }
  for (int i = 0; i < 30; ++i) {
    owners[++ticket] = "steady";
    queue.admit(ticket, tenant("steady", 2), {0, 0, {}, kNow}, kNow, kMaxWait);
  }
  QueueTicket running = 1;
  const std::map<std::string, int> counts = serve(queue, owners, 30, running);
  EXPECT_NEAR(counts.at("steady"), 20, 1);
  EXPECT_NEAR(counts.at("bursting"), 10, 1);
}

TEST(TenantFairSchedulerTest, PriorityTakesPrecedenceOverStartTags) {
  SlotQueue queue(1);
  queue.admit(1, tenant("a", 1), {0, 0, {}, kNow}, kNow, kMaxWait);
  for (QueueTicket ticket = 2; ticket < 6; ++ticket) {
    queue.admit(ticket, tenant("a", 1), {1, 0, {}, kNow}, kNow, kMaxWait);
  }
  queue.admit(6, tenant("a", 1), {0, 0, {}, kNow}, kNow, kMaxWait);
  queue.onRequestEnded(1, std::nullopt);
  EXPECT_EQ(queue.startNext(kNow), 6U);
}

TEST(TenantFairSchedulerTest, TenantAtItsQueueLimitIsRefusedUntilOneOfItsRequestsLeaves) {
  SlotQueue queue(1);
  queue.admit(1, tenant("a", 1, 2), {0, 0, {}, kNow}, kNow, kMaxWait);
  EXPECT_EQ(queue.admit(2, tenant("a", 1, 2), {}, kNow, kMaxWait).verdict, QueueVerdict::Wait);
  EXPECT_EQ(queue.admit(3, tenant("a", 1, 2), {}, kNow, kMaxWait).verdict, QueueVerdict::Wait);
  EXPECT_EQ(queue.admit(4, tenant("a", 1, 2), {}, kNow, kMaxWait).verdict, QueueVerdict::TenantFull);
  EXPECT_EQ(queue.admit(5, tenant("b", 1, 2), {}, kNow, kMaxWait).verdict, QueueVerdict::Wait);
  EXPECT_TRUE(queue.remove(3));
  EXPECT_EQ(queue.admit(6, tenant("a", 1, 2), {}, kNow, kMaxWait).verdict, QueueVerdict::Wait);
}

TEST(TenantFairSchedulerTest, TenantGainsNoCreditWhileIdle) {
  SlotQueue queue(1);
  std::map<QueueTicket, std::string> owners;
  QueueTicket ticket = 0;
  queue.admit(++ticket, tenant("first", 1), {0, 0, {}, kNow}, kNow, kMaxWait);
  for (int i = 0; i < 50; ++i) {
    owners[++ticket] = "busy";
    queue.admit(ticket, tenant("busy", 1), {0, 0, {}, kNow}, kNow, kMaxWait);
  }
  QueueTicket running = 1;
  serve(queue, owners, 30, running);
  for (int i = 0; i < 50; ++i) {
    owners[++ticket] = "late";
    queue.admit(ticket, tenant("late", 1), {0, 0, {}, kNow}, kNow, kMaxWait);
  }
  const std::map<std::string, int> counts = serve(queue, owners, 20, running);
  EXPECT_NEAR(counts.at("late"), 10, 1);
}

}  // namespace
}  // namespace shedlever
