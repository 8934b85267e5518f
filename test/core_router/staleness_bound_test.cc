/// @file
/// When to ask whether what is known is still the newest.

#include "source/core/router/staleness_bound.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "source/lab/sim/ownership_world.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(100));
constexpr Duration kTick = milliseconds(50);

class StalenessBoundTest : public ::testing::Test {
 protected:
  sim::SeededRandom random_{7};
  StalenessLimits limits_;
};

TEST_F(StalenessBoundTest, AsksAtTheLimitAtTheLatestAndNotBeforeTheLeast) {
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

// The number of questions does not grow with the processes, as long as they tell each other.
TEST_F(StalenessBoundTest, FewOfManyProcessesAsk) {
  constexpr Duration kTold = milliseconds(150);
  constexpr int kSeconds = 60;
  for (const std::size_t processes : {4U, 16U, 194U}) {
    std::vector<StalenessBound> bounds(processes, StalenessBound(limits_, kStart));
    std::vector<TimePoint> asked;
    for (TimePoint now = kStart; now < kStart + std::chrono::seconds(kSeconds); now += kTick) {
      // What was learned a moment ago is known everywhere by now.
      const auto told = std::find_if(asked.rbegin(), asked.rend(), [&](TimePoint at) { return now - at >= kTold; });
      const TimePoint told_at = told == asked.rend() ? kStart : *told;
      for (StalenessBound& bound : bounds) {
        bound.noteFreshAt(told_at);
        if (bound.shouldQuery(now, processes, random_)) {
          bound.noteFreshAt(now);
          asked.push_back(now);
        }
      }
    }
    EXPECT_LT(asked.size(), 3U * kSeconds) << processes;
    EXPECT_GT(asked.size(), kSeconds / 2U) << processes;
  }
}

// Seen: while the store refused all calls for 8 s, what others had known before it did came with each of their replies,
// cleared the pause after a refused question each time, and each of 71 processes asked with every tick: 16,000 calls,
// each of which costs as much as one that is answered.
TEST_F(StalenessBoundTest, RefusedQuestionsArePausedWhateverOthersKnewBefore) {
  StalenessBound bound(limits_, kStart);
  int asked = 0;
  for (TimePoint now = kStart; now < kStart + std::chrono::seconds(8); now += kTick) {
    bound.noteFreshAt(kStart - milliseconds(100));
    bound.noteFreshAt(kStart);
    if (bound.shouldQuery(now, 71, random_)) {
      ++asked;
      bound.onFailed(now);
    }
  }
  // 1.5 s, and then after 0.4, 0.8, 1.6 and 1.6 s.
  EXPECT_LE(asked, 7);
}

TEST_F(StalenessBoundTest, WhatOthersKnewLongAgoIsNoNews) {
  StalenessBound bound(limits_, kStart);
  bound.noteFreshAt(kStart - std::chrono::seconds(5));
  EXPECT_EQ(bound.staleness(kStart), Duration::zero());
  EXPECT_TRUE(bound.shouldQuery(kStart + limits_.max_staleness, 16, random_));
}

}  // namespace
}  // namespace shedlever::test
