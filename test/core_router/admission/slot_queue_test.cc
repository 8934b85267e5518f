/// @file
/// Slots, order of the queue and refusal by predicted wait.

#include "source/core/router/admission/slot_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::seconds(10)};

QueueRank rank(std::uint32_t priority, Duration target = milliseconds(600), TimePoint arrived = kNow) {
  return {priority, 0, target, arrived};
}

TEST(SlotQueueTest, StartsRequestsUpToTheSlotsThenQueuesThem) {
  SlotQueue queue(2);
  EXPECT_EQ(queue.admit(1, rank(0), kNow, milliseconds(500)).verdict, QueueVerdict::Start);
  EXPECT_EQ(queue.admit(2, rank(0), kNow, milliseconds(500)).verdict, QueueVerdict::Start);
  EXPECT_EQ(queue.admit(3, rank(0), kNow, milliseconds(500)).verdict, QueueVerdict::Wait);
  EXPECT_EQ(queue.startNext(kNow), std::nullopt);
  queue.onRequestEnded(1, milliseconds(100));
  EXPECT_EQ(queue.startNext(kNow), 3U);
}

TEST(SlotQueueTest, HigherPriorityStartsFirstThenEarlierArrival) {
  SlotQueue queue(1);
  queue.admit(1, rank(0), kNow, milliseconds(5000));
  queue.admit(2, rank(2), kNow, milliseconds(5000));
  queue.admit(3, rank(1), kNow, milliseconds(5000));
  queue.admit(4, rank(1), kNow, milliseconds(5000));
  std::vector<QueueTicket> order{1};
  for (int i = 0; i < 3; ++i) {
    queue.onRequestEnded(order.back(), std::nullopt);
    order.push_back(queue.startNext(kNow).value_or(0));
  }
  EXPECT_EQ(order, (std::vector<QueueTicket>{1, 3, 4, 2}));
}

TEST(SlotQueueTest, AtEqualPriorityTheShorterObjectiveStartsFirst) {
  SlotQueue queue(1);
  queue.admit(1, rank(1), kNow, milliseconds(5000));
  queue.admit(2, rank(1, milliseconds(800)), kNow, milliseconds(5000));
  queue.admit(3, rank(1, milliseconds(200), kNow + milliseconds(500)), kNow + milliseconds(500), milliseconds(5000));
  queue.onRequestEnded(1, std::nullopt);
  EXPECT_EQ(queue.startNext(kNow), 3U);
}

// Guards against earlier requests that wait in vain behind all that come after them.
TEST(SlotQueueTest, AtEqualObjectiveTheEarlierArrivalStartsFirst) {
  SlotQueue queue(1);
  queue.admit(1, rank(1), kNow, milliseconds(5000));
  queue.admit(2, rank(1), kNow, milliseconds(5000));
  queue.admit(3, rank(1, milliseconds(600), kNow + milliseconds(1)), kNow + milliseconds(1), milliseconds(5000));
  queue.onRequestEnded(1, std::nullopt);
  EXPECT_EQ(queue.startNext(kNow), 2U);
}

// Guards against requests with a long objective that never start while others keep arriving.
TEST(SlotQueueTest, ShorterObjectiveDoesNotOvertakeARequestThatHasWaitedLonger) {
  SlotQueue queue(1);
  queue.admit(1, rank(1), kNow, milliseconds(5000));
  queue.admit(2, rank(1, milliseconds(800)), kNow, milliseconds(5000));
  queue.admit(3, rank(1, milliseconds(200), kNow + milliseconds(601)), kNow + milliseconds(601), milliseconds(5000));
  queue.onRequestEnded(1, std::nullopt);
  EXPECT_EQ(queue.startNext(kNow), 2U);
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

/// Admits a request and ends it, `count` times at intervals of 20 ms. @return the time of the last one.
TimePoint serveSteadily(SlotQueue& queue, const QueueRank& served, QueueTicket first, int count, TimePoint from) {
  for (int i = 0; i < count; ++i, from += milliseconds(20)) {
    const QueueTicket ticket = first + static_cast<QueueTicket>(i);
    queue.admit(ticket, served, from, milliseconds(0));
    queue.onRequestEnded(ticket, milliseconds(100));
  }
  return from;
}

// Guards against requests that are queued although more urgent ones, which arrive all the time, take every slot first.
TEST(SlotQueueTest, RequestThatLaterArrivalsWouldDelayTooLongIsRefusedAtOnce) {
  SlotQueue queue(3);
  // 50 requests per second of 100 ms each: more than the 3 slots serve.
  const TimePoint now = serveSteadily(queue, rank(0), 100, 50, kNow);
  for (QueueTicket ticket = 1; ticket <= 3; ++ticket) {
    queue.admit(ticket, rank(0), now, milliseconds(500));
  }
  const QueueDecision decision = queue.admit(4, rank(1), now, milliseconds(500));
  EXPECT_EQ(decision.verdict, QueueVerdict::Refuse);
  EXPECT_GT(decision.predicted_wait, milliseconds(500));
  EXPECT_GT(decision.overtaking_wait, milliseconds(400));
  EXPECT_EQ(queue.load().queued, 0U);
}

// The same arrivals do not delay a more urgent request, which must not be refused.
TEST(SlotQueueTest, RequestThatNoLaterArrivalOvertakesIsQueued) {
  SlotQueue queue(3);
  const TimePoint now = serveSteadily(queue, rank(1), 100, 50, kNow);
  for (QueueTicket ticket = 1; ticket <= 3; ++ticket) {
    queue.admit(ticket, rank(1), now, milliseconds(500));
  }
  EXPECT_EQ(queue.admit(4, rank(0), now, milliseconds(100)).verdict, QueueVerdict::Wait);
}

// Guards against requests that wait until their deadline although the server has lost slots meanwhile.
TEST(SlotQueueTest, RequestsThatFewerSlotsDelayTooLongAreRemovedAtOnce) {
  SlotQueue queue(8);
  for (QueueTicket ticket = 1; ticket <= 16; ++ticket) {
    queue.admit(ticket, rank(0), kNow, milliseconds(150));
  }
  EXPECT_TRUE(queue.removeOverdue(kNow).empty());
  queue.setSlots(2);
  EXPECT_EQ(queue.removeOverdue(kNow), (std::vector<QueueTicket>{12, 13, 14, 15, 16}));
  queue.setSlots(0);
  EXPECT_EQ(queue.removeOverdue(kNow), (std::vector<QueueTicket>{9, 10, 11}));
}

// Guards against requests that wait behind others on a server that has just been limited.
TEST(SlotQueueTest, RequestsThatAColdOrNamedLimitDelaysTooLongAreRemovedAtOnce) {
  for (const bool cold : {false, true}) {
    SlotQueue queue(2);
    for (QueueTicket ticket = 1; ticket <= 6; ++ticket) {
      queue.admit(ticket, rank(0), kNow, milliseconds(700));
    }
    EXPECT_TRUE(queue.removeOverdue(kNow).empty());
    if (cold) {
      queue.setStartLimit(1);
    } else {
      queue.setNamedLimit(1);
    }
    EXPECT_EQ(queue.removeOverdue(kNow).size(), 4U) << cold;
  }
}

// Guards against requests that wait on while those that run take far longer than usual.
TEST(SlotQueueTest, RequestsThatASlowerServerDelaysTooLongAreRemovedBeforeItsNextResponse) {
  SlotQueue queue(16);
  for (QueueTicket ticket = 1; ticket <= 64; ++ticket) {
    queue.admit(ticket, rank(0), kNow, milliseconds(350));
  }
  EXPECT_TRUE(queue.removeOverdue(kNow + milliseconds(50)).empty());
  const std::vector<QueueTicket> overdue = queue.removeOverdue(kNow + milliseconds(200));
  EXPECT_FALSE(overdue.empty());
  // At twice the usual service time, 150 ms suffice for the start of 12 requests.
  EXPECT_LE(queue.load().queued, 13U);
}

// Guards against requests that wait although more urgent ones have begun to take all slots.
TEST(SlotQueueTest, RequestThatLaterArrivalsDelayTooLongIsRemovedBeforeTheyHaveArrived) {
  SlotQueue queue(3);
  for (QueueTicket ticket = 1; ticket <= 3; ++ticket) {
    queue.admit(ticket, rank(0), kNow, milliseconds(500));
  }
  queue.admit(4, rank(1), kNow, milliseconds(2000));
  queue.admit(5, rank(1), kNow, milliseconds(2000));
  for (int i = 0; i < 25; ++i) {
    const QueueTicket ticket = 100 + static_cast<QueueTicket>(i);
    queue.onRequestEnded(i < 3 ? static_cast<QueueTicket>(i + 1) : ticket - 3, milliseconds(100));
    queue.admit(ticket, rank(0), kNow + milliseconds(20 * i), milliseconds(500));
  }
  EXPECT_EQ(queue.removeOverdue(kNow + milliseconds(500)), std::vector<QueueTicket>{5});
}

TEST(SlotQueueTest, WithoutSlotsEveryRequestIsRefused) {
  SlotQueue queue(0);
  EXPECT_EQ(queue.admit(1, rank(0), kNow, std::chrono::hours(1)).verdict, QueueVerdict::Refuse);
}

RC_GTEST_PROP(SlotQueueProperty, NeverExceedsItsSlotsAndLosesNoRequest, (const std::vector<std::uint8_t>& steps)) {
  constexpr std::uint32_t kSlots = 3;
  SlotQueue queue(kSlots);
  std::deque<QueueTicket> running;
  std::size_t waiting = 0;
  QueueTicket ticket = 0;
  TimePoint now = kNow;
  for (const std::uint8_t step : steps) {
    now += milliseconds(step);
    if (step % 3 == 0) {
      const QueueVerdict verdict =
          queue.admit(++ticket, rank(step % 4U, milliseconds(step % 5), now), now, milliseconds(200)).verdict;
      if (verdict == QueueVerdict::Start) {
        running.push_back(ticket);
      }
      waiting += verdict == QueueVerdict::Wait ? 1 : 0;
    } else if (step % 3 == 1 && !running.empty()) {
      queue.onRequestEnded(running.front(), milliseconds(step));
      running.pop_front();
    } else {
      waiting -= queue.removeOverdue(now).size();
    }
    while (const auto started = queue.startNext(now)) {
      running.push_back(*started);
      --waiting;
    }
    RC_ASSERT(running.size() <= kSlots);
    RC_ASSERT(queue.load().running == running.size());
    RC_ASSERT(queue.load().queued == waiting);
  }
}

}  // namespace
}  // namespace shedlever::test
