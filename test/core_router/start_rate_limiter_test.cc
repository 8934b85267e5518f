/// @file
/// Cold servers bear a rate, not as many requests as they have slots.
///
/// The load: all servers of a zone come back cold at once while the service's requests go on, or one turns cold amid
/// its work. Seen on a deployment with 71 servers, each of which bears 13 requests a second while it is cold and has 18
/// slots: with slots alone as the limit one got 33 in one second, and 64 times on one day more than the 27 that it
/// bears.

#include "source/core/router/start_rate_limiter.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <vector>

#include "source/core/router/slot_queue.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr double kColdRate = 13;
constexpr std::uint32_t kSlots = 18;
constexpr Duration kTick = milliseconds(25);

TEST(StartRateLimiterTest, WithoutALimitAllStart) {
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

TEST(StartRateLimiterTest, TellsTheWaitOfThoseFurtherBehind) {
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

TEST(StartRateLimiterTest, AnEarlierProcessMayHaveUsedItUp) {
  StartRateLimiter rate;
  rate.setLimit(kColdRate);
  rate.assumeExhausted(kStart);
  EXPECT_GE(rate.timeUntilNextStart(kStart), seconds(1));
  EXPECT_EQ(rate.timeUntilNextStart(kStart + seconds(2)), Duration::zero());
}

/// One server's queue under a load that it can't bear while it is cold.
class ColdServerLoad {
 public:
  /// @param cold_at, cold_until when the server is cold.
  ColdServerLoad(std::uint64_t seed, Duration cold_at, Duration cold_until)
      : random_(seed), cold_at_(kStart + cold_at), cold_until_(kStart + cold_until) {}

  void play(Duration length, int requests_per_second) {
    const double chance = requests_per_second * std::chrono::duration<double>(milliseconds(1)).count();
    for (TimePoint now = kStart; now < kStart + length; now += milliseconds(1)) {
      queue_.setStartLimit(isCold(now) ? std::optional(kColdRate) : std::nullopt);
      endWork(now);
      if (std::bernoulli_distribution(chance)(random_)) {
        arrive(now);
      }
      const bool ticks = (now - kStart) % kTick == Duration::zero();
      if (ticks) {
        noteLate(now);
      }
      while (queue_.startNext(now)) {
        start(now);
      }
    }
  }

  /// @return most starts in any second in which the server is cold.
  std::size_t mostInAColdSecond() const {
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
  /// Of those that could not be served in time after all.
  Duration longest_wait_in_vain = Duration::zero();

  static constexpr Duration kWork = milliseconds(260);
  static constexpr Duration kObjective = seconds(1);
  static constexpr Duration kLongestWait = kObjective - kWork;

 private:
  void arrive(TimePoint now) {
    const QueueRank rank{1, 0, kObjective, now + seconds(6)};
    arrived_[++ticket_] = now;
    const QueueDecision decision = queue_.admit(ticket_, rank, now, kLongestWait);
    if (decision.verdict == QueueVerdict::Start) {
      start(now);
    }
    refused_at_once += decision.verdict == QueueVerdict::Refuse ? 1 : 0;
  }

  void noteLate(TimePoint now) {
    for (const QueueTicket ticket : queue_.removeOverdue(now)) {
      longest_wait_in_vain = std::max(longest_wait_in_vain, now - arrived_.at(ticket));
    }
  }

  void start(TimePoint now) {
    starts.push_back(now);
    ends_.push_back(now + kWork);
  }

  void endWork(TimePoint now) {
    while (!ends_.empty() && ends_.front() <= now) {
      ends_.pop_front();
      queue_.onRequestEnded(kWork);
    }
  }

  std::mt19937_64 random_;
  TimePoint cold_at_;
  TimePoint cold_until_;
  SlotQueue queue_{kSlots};
  std::deque<TimePoint> ends_;
  QueueTicket ticket_ = 0;
  std::map<QueueTicket, TimePoint> arrived_;
};

constexpr std::uint64_t kSeeds = 20;

TEST(ColdServerLoadTest, ServerThatComesBackColdGetsWhatItBears) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ColdServerLoad load(seed, Duration::zero(), seconds(3));
    load.play(seconds(3), 60);
    EXPECT_LE(load.mostInAColdSecond(), static_cast<std::size_t>(kColdRate));
    // The rate is used: a server that bears 13 a second is not left idle.
    EXPECT_GE(load.starts.size(), 2 * static_cast<std::size_t>(kColdRate));
  }
}

// In the second before nobody knew: what had begun then counts.
TEST(ColdServerLoadTest, ServerThatTurnsColdAmidItsWorkGetsNoMoreThanItHad) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ColdServerLoad load(seed, seconds(2), seconds(5));
    load.play(seconds(5), 60);
    EXPECT_LE(load.mostInAColdSecond(), static_cast<std::size_t>(kColdRate));
  }
}

// Nobody is kept for longer than it can still be served in time; more requests come than the server bears, so that some
// are refused the moment they come.
TEST(ColdServerLoadTest, NobodyIsKeptWhoCantBeServedInTime) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ColdServerLoad load(seed, Duration::zero(), seconds(3));
    load.play(seconds(3), 60);
    EXPECT_GT(load.refused_at_once, 0U);
    EXPECT_LE(load.longest_wait_in_vain, ColdServerLoad::kLongestWait + kTick);
  }
}

}  // namespace
}  // namespace shedlever::test
