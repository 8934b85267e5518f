/// @file
/// Start rate limit of cold servers. Guards against overload of a cold server, which can handle fewer requests per
/// second than its slots would admit, after a restart or when it becomes cold under load.

#include "source/core/router/admission/start_rate_limiter.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <vector>

#include "source/core/router/admission/slot_queue.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr double kColdRate = 13;
constexpr std::uint32_t kSlots = 18;
constexpr Duration kTick = milliseconds(25);

TEST(StartRateLimiterTest, WithoutALimitEveryRequestStartsAtOnce) {
  StartRateLimiter rate;
  for (int i = 0; i < 1000; ++i) {
    EXPECT_EQ(rate.timeUntilNextStart(kStart), Duration::zero());
    rate.onStart(kStart);
  }
}

TEST(StartRateLimiterTest, StartsBeforeTheLimitWasSetCount) {
  StartRateLimiter rate;
  for (int i = 0; i < 20; ++i) {
    rate.onStart(kStart);
  }
  rate.setLimit(kColdRate);
  EXPECT_GE(rate.timeUntilNextStart(kStart), seconds(1));
  EXPECT_EQ(rate.timeUntilNextStart(kStart + milliseconds(1100)), Duration::zero());
}

TEST(StartRateLimiterTest, WaitGrowsWithTheNumberOfRequestsAhead) {
  StartRateLimiter rate;
  rate.setLimit(2);
  EXPECT_EQ(rate.timeUntilStartBehind(1, kStart), Duration::zero());
  EXPECT_EQ(rate.timeUntilStartBehind(2, kStart), milliseconds(1100));
  rate.onStart(kStart);
  EXPECT_EQ(rate.timeUntilNextStart(kStart), Duration::zero());
  EXPECT_EQ(rate.timeUntilStartBehind(1, kStart), milliseconds(1100));
  rate.onStart(kStart + milliseconds(500));
  EXPECT_EQ(rate.timeUntilStartBehind(0, kStart + milliseconds(500)), milliseconds(600));
  EXPECT_EQ(rate.timeUntilStartBehind(1, kStart + milliseconds(500)), milliseconds(1100));
  EXPECT_EQ(rate.timeUntilStartBehind(2, kStart + milliseconds(500)), milliseconds(1700));
}

TEST(StartRateLimiterTest, ExhaustedWindowDelaysTheNextStart) {
  StartRateLimiter rate;
  rate.setLimit(kColdRate);
  rate.assumeExhausted(kStart);
  EXPECT_GE(rate.timeUntilNextStart(kStart), seconds(1));
  EXPECT_EQ(rate.timeUntilNextStart(kStart + seconds(2)), Duration::zero());
}

/// Queue of one server under a load that exceeds its capacity while it is cold.
class ColdServerLoad {
 public:
  /// @param cold_at, cold_until period in which the server is cold, relative to the start.
  ColdServerLoad(std::uint64_t seed, Duration cold_at, Duration cold_until)
      : random_(seed), cold_at_(kStart + cold_at), cold_until_(kStart + cold_until) {}

  void run(Duration length, int requests_per_second) {
    const double chance = requests_per_second * std::chrono::duration<double>(milliseconds(1)).count();
    for (TimePoint now = kStart; now < kStart + length; now += milliseconds(1)) {
      queue_.setStartLimit(isCold(now) ? std::optional(kColdRate) : std::nullopt);
      finishRequests(now);
      if (std::bernoulli_distribution(chance)(random_)) {
        arrive(now);
      }
      const bool is_tick = (now - kStart) % kTick == Duration::zero();
      if (is_tick) {
        dropOverdue(now);
      }
      while (const auto ticket = queue_.startNext(now)) {
        start(*ticket, now);
      }
    }
  }

  /// @return maximum number of starts in any second that begins while the server is cold.
  std::size_t maxStartsInAColdSecond() const {
    std::size_t most = 0;
    for (std::size_t first = 0; first < starts.size(); ++first) {
      std::size_t last = first;
      while (last < starts.size() && starts[last] < starts[first] + seconds(1)) {
        ++last;
      }
      if (isCold(starts[first])) {
        most = std::max(most, last - first);
      }
    }
    return most;
  }

  bool isCold(TimePoint now) const { return now >= cold_at_ && now < cold_until_; }

  std::vector<TimePoint> starts;
  std::size_t refused_at_once = 0;
  /// Longest wait of the requests that were removed as overdue.
  Duration longest_wait_of_overdue = Duration::zero();

  static constexpr Duration kServiceTime = milliseconds(260);
  static constexpr Duration kTargetLatency = seconds(1);
  static constexpr Duration kMaxWait = kTargetLatency - kServiceTime;

 private:
  void arrive(TimePoint now) {
    const QueueRank rank{1, 0, kTargetLatency, now};
    arrived_[++ticket_] = now;
    const QueueDecision decision = queue_.admit(ticket_, rank, now, kMaxWait);
    if (decision.verdict == QueueVerdict::Start) {
      start(ticket_, now);
    }
    refused_at_once += decision.verdict == QueueVerdict::Refuse ? 1 : 0;
  }

  void dropOverdue(TimePoint now) {
    for (const QueueTicket ticket : queue_.removeOverdue(now)) {
      longest_wait_of_overdue = std::max(longest_wait_of_overdue, now - arrived_.at(ticket));
    }
  }

  void start(QueueTicket ticket, TimePoint now) {
    starts.push_back(now);
    ends_.emplace_back(now + kServiceTime, ticket);
  }

  void finishRequests(TimePoint now) {
    while (!ends_.empty() && ends_.front().first <= now) {
      queue_.onRequestEnded(ends_.front().second, kServiceTime);
      ends_.pop_front();
    }
  }

  std::mt19937_64 random_;
  TimePoint cold_at_;
  TimePoint cold_until_;
  SlotQueue queue_{kSlots};
  /// Ends of running requests, with their tickets.
  std::deque<std::pair<TimePoint, QueueTicket>> ends_;
  QueueTicket ticket_ = 0;
  std::map<QueueTicket, TimePoint> arrived_;
};

constexpr std::uint64_t kSeeds = 20;

TEST(ColdServerLoadTest, RestartedServerGetsAtMostTheColdRate) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ColdServerLoad load(seed, Duration::zero(), seconds(3));
    load.run(seconds(3), 60);
    EXPECT_LE(load.maxStartsInAColdSecond(), static_cast<std::size_t>(kColdRate));
    // The server must not stay idle either.
    EXPECT_GE(load.starts.size(), 2 * static_cast<std::size_t>(kColdRate));
  }
}

// Starts in the second before the server became cold count as well.
TEST(ColdServerLoadTest, ServerThatBecomesColdUnderLoadGetsAtMostTheColdRate) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ColdServerLoad load(seed, seconds(2), seconds(5));
    load.run(seconds(5), 60);
    EXPECT_LE(load.maxStartsInAColdSecond(), static_cast<std::size_t>(kColdRate));
  }
}

// A request must not stay in the queue longer than it can still be served in time. The load exceeds the server's
// capacity, so some requests are refused on arrival.
TEST(ColdServerLoadTest, RequestsThatCannotBeServedInTimeAreRemovedPromptly) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ColdServerLoad load(seed, Duration::zero(), seconds(3));
    load.run(seconds(3), 60);
    EXPECT_GT(load.refused_at_once, 0U);
    EXPECT_LE(load.longest_wait_of_overdue, ColdServerLoad::kMaxWait + kTick);
  }
}

}  // namespace
}  // namespace shedlever::test
