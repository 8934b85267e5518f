/// @file
/// A server that names changing limits, under a load above them, on virtual time. Guards against a server that gets
/// more than it names, also in the requests that were queued before, and against a limit whose end goes unnoticed.

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <vector>

#include "source/core/router/admission/named_limit.h"
#include "source/core/router/admission/slot_queue.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kStep = milliseconds(1);
constexpr Duration kTick = milliseconds(50);
constexpr Duration kServiceTime = milliseconds(100);
constexpr Duration kMaxWait = milliseconds(300);
constexpr std::uint32_t kSlots = 18;
constexpr int kRequestsPerSecond = 80;
constexpr std::uint64_t kSeeds = 20;
/// The rule for servers: at most this many times the limit, plus some requests, in any span of 4 s.
constexpr Duration kSpan = seconds(4);
constexpr double kMaxFactor = 1.5;
constexpr double kMaxExtra = 5;

/// The server names this limit from a time after the start on.
struct LimitStep {
  Duration from{};
  std::optional<double> limit;
};

class NamedLimitLoad {
 public:
  NamedLimitLoad(std::uint64_t seed, std::vector<LimitStep> steps) : random_(seed), steps_(std::move(steps)) {}

  void run(Duration length) {
    constexpr double kChance = kRequestsPerSecond * 0.001;
    for (TimePoint now = kStart; now < kStart + length; now += kStep) {
      finishRequests(now);
      if (std::bernoulli_distribution(kChance)(random_)) {
        arrive(now);
      }
      if ((now - kStart) % kTick == Duration::zero()) {
        queue_.removeOverdue(now);
      }
      while (const auto ticket = queue_.startNext(now)) {
        start(*ticket, now);
      }
    }
  }

  std::size_t startsBetween(Duration from, Duration until) const {
    const auto first = std::lower_bound(starts_.begin(), starts_.end(), kStart + from);
    const auto last = std::lower_bound(starts_.begin(), starts_.end(), kStart + until);
    return static_cast<std::size_t>(last - first);
  }

  /// @return highest number of starts in a span of 4 s within this time.
  std::size_t maxStartsInASpan(Duration from, Duration until) const {
    std::size_t most = 0;
    for (Duration begin = from; begin + kSpan <= until; begin += milliseconds(50)) {
      most = std::max(most, startsBetween(begin, begin + kSpan));
    }
    return most;
  }

  const NamedLimit& limit() const { return limit_; }

 private:
  std::optional<double> limitAt(TimePoint now) const {
    std::optional<double> limit;
    for (const LimitStep& step : steps_) {
      if (now >= kStart + step.from) {
        limit = step.limit;
      }
    }
    return limit;
  }

  void arrive(TimePoint now) {
    const QueueRank rank{1, 0, kMaxWait, now};
    if (queue_.admit(++ticket_, rank, now, kMaxWait).verdict == QueueVerdict::Start) {
      start(ticket_, now);
    }
  }

  void start(QueueTicket ticket, TimePoint now) {
    starts_.push_back(now);
    const milliseconds extra(random_() % 100);
    ends_.emplace(now + kServiceTime + extra, std::pair(now, ticket));
  }

  void finishRequests(TimePoint now) {
    while (!ends_.empty() && ends_.begin()->first <= now) {
      const auto [end, started] = *ends_.begin();
      const auto [sent, ticket] = started;
      ends_.erase(ends_.begin());
      queue_.onRequestEnded(ticket, end - sent);
      limit_.onResponse({limitAt(now), false, false}, sent, now);
      queue_.setNamedLimit(limit_.perSecond());
    }
  }

  std::mt19937_64 random_;
  std::vector<LimitStep> steps_;
  NamedLimit limit_;
  SlotQueue queue_{kSlots};
  /// Ends of running requests, with their starts and tickets.
  std::multimap<TimePoint, std::pair<TimePoint, QueueTicket>> ends_;
  std::vector<TimePoint> starts_;
  QueueTicket ticket_ = 0;
};

/// Time until the first response that names a limit has been received.
constexpr Duration kUntilKnown = milliseconds(500);

class NamedLimitLoadTest : public ::testing::TestWithParam<double> {};

TEST_P(NamedLimitLoadTest, ServerGetsWhatItNamesAndNotLess) {
  const double limit = GetParam();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    NamedLimitLoad load(seed, {{seconds(2), limit}});
    load.run(seconds(14));
    const Duration known = seconds(2) + kUntilKnown;
    const double span_seconds = std::chrono::duration<double>(kSpan).count();
    EXPECT_LE(static_cast<double>(load.maxStartsInASpan(known, seconds(14))),
              kMaxFactor * limit * span_seconds + kMaxExtra);
    // The starts before the limit was known may use up its first window.
    const double served_seconds = std::chrono::duration<double>(seconds(14) - known).count() - 2;
    EXPECT_GE(static_cast<double>(load.startsBetween(known, seconds(14))), 0.9 * limit * served_seconds - 1);
    EXPECT_LE(static_cast<double>(load.startsBetween(known, seconds(14))),
              std::max(limit, 0.5) * (served_seconds + 2) + std::max(limit / 2, 1.0) + 1);
  }
}

INSTANTIATE_TEST_SUITE_P(Limits, NamedLimitLoadTest, ::testing::Values(0, 0.25, 0.7, 1, 3, 15.6, 19.8, 40));

// A limit far above the load must not hold anything back, nor overflow.
TEST(NamedLimitChangeTest, HugeLimitHoldsNothingBack) {
  NamedLimitLoad unlimited(7, {});
  NamedLimitLoad limited(7, {{Duration::zero(), 1e300}});
  unlimited.run(seconds(5));
  limited.run(seconds(5));
  EXPECT_EQ(limited.startsBetween(Duration::zero(), seconds(5)), unlimited.startsBetween(Duration::zero(), seconds(5)));
}

// At 0 only a request now and then shows that the server takes requests again.
TEST(NamedLimitChangeTest, EndOfALimitOfZeroIsNoticedSoon) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    NamedLimitLoad load(seed, {{seconds(1), 0}, {seconds(6), std::nullopt}});
    load.run(seconds(10));
    EXPECT_EQ(load.limit().perSecond(), std::nullopt);
    EXPECT_GE(load.startsBetween(seconds(9), seconds(10)), static_cast<std::size_t>(kRequestsPerSecond / 2));
  }
}

TEST(NamedLimitChangeTest, RaisedLimitIsUsedSoonAndLoweredLimitHoldsSoon) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    NamedLimitLoad load(seed, {{seconds(1), 5}, {seconds(5), 30}, {seconds(9), 5}});
    load.run(seconds(14));
    EXPECT_GE(load.startsBetween(seconds(6), seconds(9)), 80U);
    EXPECT_LE(load.startsBetween(seconds(9) + kUntilKnown, seconds(14)), 26U);
  }
}

// The limit differs from response to response, as a server adjusts it all the time.
TEST(NamedLimitChangeTest, LimitThatChangesAllTheTimeHoldsOnAverage) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::vector<LimitStep> steps(200);
    for (int i = 0; i < 200; ++i) {
      steps[static_cast<std::size_t>(i)] = {milliseconds(1000 + 50 * i), i % 2 == 0 ? 10.0 : 20.0};
    }
    NamedLimitLoad load(seed, steps);
    load.run(seconds(11));
    EXPECT_LE(load.maxStartsInASpan(seconds(1) + kUntilKnown, seconds(11)), 15U * 4 + 5);
    EXPECT_GE(load.startsBetween(seconds(2), seconds(11)), 9U * 9);
  }
}

// Another process may have used up the limit before; until the server's first response, this one does not know it.
TEST(NamedLimitChangeTest, FewRequestsStartWhileTheLimitIsUnknown) {
  SlotQueue queue(kSlots);
  queue.setNamedLimitUnknown(true);
  std::size_t started = 0;
  QueueTicket ticket = 0;
  for (TimePoint now = kStart; now < kStart + seconds(1); now += milliseconds(10)) {
    const QueueRank rank{1, 0, kMaxWait, now};
    started += queue.admit(++ticket, rank, now, Duration::zero()).verdict == QueueVerdict::Start ? 1 : 0;
  }
  EXPECT_LE(started, 5U);
  EXPECT_EQ(queue.load().slots, kSlots) << "an unknown limit must not move keys";
  queue.setNamedLimitUnknown(false);
  EXPECT_FALSE(queue.isStartLimitReached(kStart + seconds(1)));
}

// Slots and run time must describe the rate, from which others choose servers and divide keys.
TEST(NamedLimitChangeTest, ReportedCapacityIsTheNamedRate) {
  for (const double limit : {0.0, 0.5, 2.0, 15.6, 90.0}) {
    SlotQueue queue(kSlots);
    queue.setNamedLimit(limit);
    const double seconds_per_request = std::chrono::duration<double>(queue.slotTime()).count();
    EXPECT_NEAR(queue.load().slots / seconds_per_request, std::max(limit, 0.5), limit * 0.02 + 0.01) << limit;
  }
  SlotQueue queue(kSlots);
  queue.setNamedLimit(1e300);
  EXPECT_EQ(queue.load().slots, kSlots);
}

}  // namespace
}  // namespace shedlever::test
