/// @file
/// Slots, order and refusal by predicted wait.

#include "source/core/router/slot_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::seconds(10)};
constexpr TimePoint kDeadline{std::chrono::seconds(20)};

QueueRank rank(std::uint32_t priority, Duration target = milliseconds(600), TimePoint deadline = kDeadline) {
  return {priority, 0, target, deadline};
}

TEST(SlotQueueTest, StartsUpToItsSlotsThenWaits) {
  SlotQueue queue(2);
  EXPECT_EQ(queue.admit(1, rank(0), kNow, milliseconds(500)).verdict, QueueVerdict::Start);
  EXPECT_EQ(queue.admit(2, rank(0), kNow, milliseconds(500)).verdict, QueueVerdict::Start);
  EXPECT_EQ(queue.admit(3, rank(0), kNow, milliseconds(500)).verdict, QueueVerdict::Wait);
  EXPECT_EQ(queue.startNext(kNow), std::nullopt);
  queue.onRequestEnded(milliseconds(100));
  EXPECT_EQ(queue.startNext(kNow), 3U);
}

TEST(SlotQueueTest, MoreUrgentGoFirstThenEarlier) {
  SlotQueue queue(1);
  queue.admit(1, rank(0), kNow, milliseconds(5000));
  queue.admit(2, rank(2), kNow, milliseconds(5000));
  queue.admit(3, rank(1), kNow, milliseconds(5000));
  queue.admit(4, rank(1), kNow, milliseconds(5000));
  std::vector<QueueTicket> order;
  for (int i = 0; i < 3; ++i) {
    queue.onRequestEnded(std::nullopt);
    order.push_back(queue.startNext(kNow).value_or(0));
  }
  EXPECT_EQ(order, (std::vector<QueueTicket>{3, 4, 2}));
}

TEST(SlotQueueTest, OfLikePriorityTheOneWithTheShorterObjectiveGoesFirst) {
  SlotQueue queue(1);
  queue.admit(1, rank(1), kNow, milliseconds(5000));
  queue.admit(2, rank(1, milliseconds(800), kDeadline + milliseconds(500)), kNow, milliseconds(5000));
  queue.admit(3, rank(1, milliseconds(200), kDeadline - milliseconds(900)), kNow, milliseconds(5000));
  queue.onRequestEnded(std::nullopt);
  EXPECT_EQ(queue.startNext(kNow), 3U);
}

// Who has waited long would be answered late, and takes as long as one that would be in time.
TEST(SlotQueueTest, OfLikeObjectiveTheOneWithMoreTimeLeftGoesFirst) {
  SlotQueue queue(1);
  queue.admit(1, rank(1), kNow, milliseconds(5000));
  queue.admit(2, rank(1), kNow, milliseconds(5000));
  queue.admit(3, rank(1, milliseconds(600), kDeadline + milliseconds(1)), kNow, milliseconds(5000));
  queue.onRequestEnded(std::nullopt);
  EXPECT_EQ(queue.startNext(kNow), 3U);
}

TEST(SlotQueueTest, RefusesAtOnceWhatWouldWaitTooLong) {
  SlotQueue queue(1);
  queue.admit(1, rank(0), kNow, milliseconds(100));
  const QueueDecision decision = queue.admit(2, rank(0), kNow, milliseconds(99));
  EXPECT_EQ(decision.verdict, QueueVerdict::Refuse);
  EXPECT_EQ(decision.predicted_wait, milliseconds(100));
  EXPECT_EQ(queue.admit(3, rank(0), kNow, milliseconds(100)).verdict, QueueVerdict::Wait);
}

TEST(SlotQueueTest, GivesBackWhatHasWaitedTooLong) {
  SlotQueue queue(1);
  queue.admit(1, rank(0), kNow, milliseconds(100));
  queue.admit(2, rank(0), kNow, milliseconds(150));
  queue.admit(3, rank(0), kNow, milliseconds(300));
  EXPECT_TRUE(queue.removeOverdue(kNow + milliseconds(149)).empty());
  EXPECT_EQ(queue.removeOverdue(kNow + milliseconds(150)), std::vector<QueueTicket>{2});
  EXPECT_EQ(queue.load().queued, 1U);
}

// The mean time is 100 ms: the request of lower rank could begin after 200 ms, until others came that go first.
TEST(SlotQueueTest, GivesBackAtOnceWhatOthersHaveOvertakenTooFar) {
  SlotQueue queue(1);
  queue.admit(1, rank(0), kNow, milliseconds(100));
  queue.admit(2, rank(5), kNow, milliseconds(250));
  EXPECT_TRUE(queue.removeOverdue(kNow).empty());
  queue.admit(3, rank(0), kNow, milliseconds(300));
  queue.admit(4, rank(0), kNow, milliseconds(300));
  EXPECT_TRUE(queue.removeOverdue(kNow + milliseconds(40)).empty());
  EXPECT_EQ(queue.removeOverdue(kNow + milliseconds(60)), std::vector<QueueTicket>{2});
  EXPECT_EQ(queue.load().queued, 2U);
}

TEST(SlotQueueTest, WithoutSlotsEverythingIsRefused) {
  SlotQueue queue(0);
  EXPECT_EQ(queue.admit(1, rank(0), kNow, std::chrono::hours(1)).verdict, QueueVerdict::Refuse);
}

RC_GTEST_PROP(SlotQueueProperty, NeverRunsMoreThanItsSlotsAndLosesNone, (const std::vector<std::uint8_t>& steps)) {
  constexpr std::uint32_t kSlots = 3;
  SlotQueue queue(kSlots);
  std::uint32_t running = 0;
  std::size_t waiting = 0;
  QueueTicket ticket = 0;
  TimePoint now = kNow;
  for (const std::uint8_t step : steps) {
    now += milliseconds(step);
    if (step % 3 == 0) {
      const QueueVerdict verdict =
          queue
              .admit(++ticket, rank(step % 4U, milliseconds(step % 5), now + milliseconds(step)), now,
                     milliseconds(200))
              .verdict;
      running += verdict == QueueVerdict::Start ? 1 : 0;
      waiting += verdict == QueueVerdict::Wait ? 1 : 0;
    } else if (step % 3 == 1 && running > 0) {
      --running;
      queue.onRequestEnded(milliseconds(step));
    } else {
      waiting -= queue.removeOverdue(now).size();
    }
    while (queue.startNext(now)) {
      ++running;
      --waiting;
    }
    RC_ASSERT(running <= kSlots);
    RC_ASSERT(queue.load().running == running);
    RC_ASSERT(queue.load().queued == waiting);
  }
}

}  // namespace
}  // namespace shedlever::test
