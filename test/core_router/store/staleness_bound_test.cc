/// @file
/// Times at which processes query the store for changes.

#include "source/core/router/store/staleness_bound.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "source/lab/sim/simulated_cluster.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(100));
constexpr Duration kTick = milliseconds(50);

class StalenessBoundTest : public ::testing::Test {
 protected:
  sim::SeededRandom random_{7};
  StalenessLimits limits_ = stalenessLimitsFor(std::chrono::seconds(2));
};

TEST_F(StalenessBoundTest, QueriesBetweenMinimumAndMaximumStaleness) {
  for (int run = 0; run < 100; ++run) {
    StalenessBound bound(limits_, kStart);
    TimePoint now = kStart;
    while (!bound.shouldQuery(now, 16, random_)) {
      now += kTick;
    }
    EXPECT_GE(now - kStart, limits_.min_staleness);
    EXPECT_LE(now - kStart, limits_.max_staleness);
  }
}

// The number of queries does not grow with the number of processes that share their results.
TEST_F(StalenessBoundTest, FewOfManyProcessesQuery) {
  constexpr Duration kPropagationDelay = milliseconds(150);
  constexpr int kSeconds = 60;
  for (const std::size_t processes : {4U, 16U, 194U}) {
    std::vector<StalenessBound> bounds(processes, StalenessBound(limits_, kStart));
    std::vector<TimePoint> queries;
    for (TimePoint now = kStart; now < kStart + std::chrono::seconds(kSeconds); now += kTick) {
      // Results reach all other processes after this delay.
      const auto shared =
          std::find_if(queries.rbegin(), queries.rend(), [&](TimePoint at) { return now - at >= kPropagationDelay; });
      const TimePoint fresh_at = shared == queries.rend() ? kStart : *shared;
      for (StalenessBound& bound : bounds) {
        bound.noteFreshAt(fresh_at);
        if (bound.shouldQuery(now, processes, random_)) {
          bound.noteFreshAt(now);
          queries.push_back(now);
        }
      }
    }
    EXPECT_LT(queries.size(), 3U * kSeconds) << processes;
    EXPECT_GT(queries.size(), kSeconds / 2U) << processes;
  }
}

// While the store refuses all calls, results from before that are repeated by other processes; they must not reset the
// backoff.
TEST_F(StalenessBoundTest, RefusedQueriesBackOffDespiteRepeatedOldResults) {
  StalenessBound bound(limits_, kStart);
  int queries = 0;
  for (TimePoint now = kStart; now < kStart + std::chrono::seconds(8); now += kTick) {
    bound.noteFreshAt(kStart - milliseconds(100));
    bound.noteFreshAt(kStart);
    if (bound.shouldQuery(now, 71, random_)) {
      ++queries;
      bound.onFailed(now);
    }
  }
  // At 1.5 s, and then after 0.4, 0.8, 1.6 and 1.6 s.
  EXPECT_LE(queries, 7);
}

TEST_F(StalenessBoundTest, OldResultsDoNotChangeTheStaleness) {
  StalenessBound bound(limits_, kStart);
  bound.noteFreshAt(kStart - std::chrono::seconds(5));
  EXPECT_EQ(bound.staleness(kStart), Duration::zero());
  EXPECT_TRUE(bound.shouldQuery(kStart + limits_.max_staleness, 16, random_));
}

/// Processes that learn of each other's queries only by the replies to their requests, each from one other process.
class ProcessesWithReplies {
 public:
  ProcessesWithReplies(std::size_t count, Duration time_limit)
      : fresh_at_(count, kStart), bounds_(count, StalenessBound(stalenessLimitsFor(time_limit), kStart)) {}

  /// @return queries per second.
  double run(Duration span, double replies_per_second) {
    std::size_t queries = 0;
    const auto chance =
        static_cast<std::uint64_t>(replies_per_second * std::chrono::duration<double>(kTick).count() * kSteps);
    for (Duration passed{}; passed < span; passed += kTick) {
      now_ += kTick;
      const std::vector<TimePoint> known = fresh_at_;
      for (std::size_t i = 0; i < bounds_.size(); ++i) {
        if (random_.below(kSteps) < chance) {
          learn(i, known[random_.below(known.size())]);
        }
        if (bounds_[i].shouldQuery(now_, bounds_.size(), random_)) {
          learn(i, now_);
          ++queries;
        }
        EXPECT_LE(bounds_[i].staleness(now_), stalenessLimitsFor(std::chrono::seconds(4)).max_staleness + kTick);
      }
    }
    return static_cast<double>(queries) / std::chrono::duration<double>(span).count();
  }

 private:
  static constexpr std::uint64_t kSteps = 10'000;

  void learn(std::size_t process, TimePoint fresh_at) {
    bounds_[process].noteFreshAt(fresh_at);
    fresh_at_[process] = std::max(fresh_at_[process], fresh_at);
  }

  sim::SeededRandom random_{7};
  TimePoint now_ = kStart;
  std::vector<TimePoint> fresh_at_;
  std::vector<StalenessBound> bounds_;
};

// Guards against most processes of a large fleet querying the store by themselves although changes have more time.
TEST_F(StalenessBoundTest, ProcessesWithMoreTimeForChangesShareTheirQueriesInLargeFleets) {
  for (const std::size_t processes : {83U, 985U, 1970U}) {
    const double queries_of_all = static_cast<double>(processes) / 3;
    const double queries = ProcessesWithReplies(processes, std::chrono::seconds(4)).run(std::chrono::seconds(60), 6);
    EXPECT_LT(queries, queries_of_all / 5) << processes;
  }
}

TEST_F(StalenessBoundTest, LimitsLeaveTimeForTheQuery) {
  EXPECT_EQ(stalenessLimitsFor(std::chrono::seconds(4)).max_staleness, milliseconds(3000));
  EXPECT_EQ(stalenessLimitsFor(milliseconds(2500)).max_staleness, milliseconds(1500));
  EXPECT_EQ(stalenessLimitsFor(std::chrono::seconds(2)).max_staleness, milliseconds(1500));
}

}  // namespace
}  // namespace shedlever::test
