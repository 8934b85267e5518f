/// @file
/// The recent rate of events.

#include "source/core/router/admission/arrival_rate_meter.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

TEST(ArrivalRateMeterTest, RateIsZeroBeforeAnyEvent) { EXPECT_EQ(ArrivalRateMeter().perSecond(kStart), 0.0); }

TEST(ArrivalRateMeterTest, SteadyEventsGiveTheirRate) {
  ArrivalRateMeter meter;
  TimePoint now = kStart;
  for (; now < kStart + seconds(2); now += milliseconds(10)) {
    meter.record(now);
  }
  EXPECT_NEAR(meter.perSecond(now), 100.0, 4.0);
}

// Guards against a few requests at the same moment that are taken for a lasting load.
TEST(ArrivalRateMeterTest, EventsOfTheCurrentIntervalDoNotCountYet) {
  ArrivalRateMeter meter;
  for (int i = 0; i < 20; ++i) {
    meter.record(kStart);
  }
  EXPECT_EQ(meter.perSecond(kStart + milliseconds(40)), 0.0);
  EXPECT_EQ(meter.perSecond(kStart + milliseconds(125)), 40.0);
}

TEST(ArrivalRateMeterTest, OldEventsAreForgotten) {
  ArrivalRateMeter meter;
  meter.record(kStart);
  EXPECT_FALSE(meter.isIdle(kStart + milliseconds(500)));
  EXPECT_TRUE(meter.isIdle(kStart + milliseconds(700)));
  EXPECT_EQ(meter.perSecond(kStart + milliseconds(700)), 0.0);
  meter.record(kStart + seconds(60));
  EXPECT_EQ(meter.perSecond(kStart + seconds(60) + milliseconds(125)), 2.0);
}

}  // namespace
}  // namespace shedlever::test
