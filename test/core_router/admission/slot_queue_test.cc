/// @file
/// Slots, order of the queue and refusal by predicted wait.

#include "source/core/router/admission/slot_queue.h"

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

TEST(SlotQueueTest, StartsRequestsUpToTheSlotsThenQueuesThem) {
  SlotQueue queue(2);
  EXPECT_EQ(queue.admit(1, rank(0), kNow, milliseconds(500)).verdict, QueueVerdict::Start);
  EXPECT_EQ(queue.admit(2, rank(0), kNow, milliseconds(500)).verdict, QueueVerdict::Start);
  EXPECT_EQ(queue.admit(3, rank(0), kNow, milliseconds(500)).verdict, QueueVerdict::Wait);
  EXPECT_EQ(queue.startNext(kNow), std::nullopt);
  queue.onRequestEnded(milliseconds(100));
  EXPECT_EQ(queue.startNext(kNow), 3U);
}

TEST(SlotQueueTest, HigherPriorityStartsFirstThenEarlierArrival) {
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

TEST(SlotQueueTest, AtEqualPriorityTheShorterObjectiveStartsFirst) {
  SlotQueue queue(1);
  queue.admit(1, rank(1), kNow, milliseconds(5000));
  queue.admit(2, rank(1, milliseconds(800), kDeadline + milliseconds(500)), kNow, milliseconds(5000));
  queue.admit(3, rank(1, milliseconds(200), kDeadline - milliseconds(900)), kNow, milliseconds(5000));
  queue.onRequestEnded(std::nullopt);
  EXPECT_EQ(queue.startNext(kNow), 3U);
}

// A request close to its deadline would probably finish late and take a slot from one that can still finish in time.
TEST(SlotQueueTest, AtEqualObjectiveTheLaterDeadlineStartsFirst) {
  SlotQueue queue(1);
  queue.admit(1, rank(1), kNow, milliseconds(5000));
  queue.admit(2, rank(1), kNow, milliseconds(5000));
  queue.admit(3, rank(1, milliseconds(600), kDeadline + milliseconds(1)), kNow, milliseconds(5000));
  queue.onRequestEnded(std::nullopt);
  EXPECT_EQ(queue.startNext(kNow), 3U);
}

TEST(SlotQueueTest, RequestThatWouldWaitTooLongIsRefusedAtOnce) {
  SlotQueue queue(1);
  queue.admit(1, rank(0), kNow, milliseconds(100));
  const QueueDecision decision = queue.admit(2, rank(0), kNow, milliseconds(99));
  EXPECT_EQ(decision.verdict, QueueVerdict::Refuse);
  EXPECT_EQ(decision.predicted_wait, milliseconds(100));
  EXPECT_EQ(queue.admit(3, rank(0), kNow, milliseconds(100)).verdict, QueueVerdict::Wait);
}

TEST(SlotQueueTest, RequestThatHasWaitedTooLongIsRemoved) {
  SlotQueue queue(1);
  queue.admit(1, rank(0), kNow, milliseconds(100));
  queue.admit(2, rank(0), kNow, milliseconds(150));
  queue.admit(3, rank(0), kNow, milliseconds(300));
  EXPECT_TRUE(queue.removeOverdue(kNow + milliseconds(149)).empty());
  EXPECT_EQ(queue.removeOverdue(kNow + milliseconds(150)), std::vector<QueueTicket>{2});
  EXPECT_EQ(queue.load().queued, 1U);
}

// With a mean service time of 100 ms, request 2 could start in time until requests of a higher rank arrive.
TEST(SlotQueueTest, RequestDelayedTooLongByLaterArrivalsIsRemovedAtOnce) {
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

TEST(SlotQueueTest, WithoutSlotsEveryRequestIsRefused) {
  SlotQueue queue(0);
  EXPECT_EQ(queue.admit(1, rank(0), kNow, std::chrono::hours(1)).verdict, QueueVerdict::Refuse);
}

RC_GTEST_PROP(SlotQueueProperty, NeverExceedsItsSlotsAndLosesNoRequest, (const std::vector<std::uint8_t>& steps)) {
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
