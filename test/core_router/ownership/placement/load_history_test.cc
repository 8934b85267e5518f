/// @file
/// Averages of reported loads, which start anew when a load changes.

#include "source/core/router/ownership/placement/load_history.h"

#include <gtest/gtest.h>

namespace shedlever {
namespace {

using std::chrono::seconds;

const InstanceId kServer("i-1");
constexpr TimePoint kStart{seconds(100)};
constexpr double kServiceSeconds = 0.16;

OfferedLoad load(double demand) { return {demand, 6, kServiceSeconds}; }

TEST(LoadHistoryTest, SmallDifferencesAreAveraged) {
  LoadHistory history;
  const double first = history.add(kServer, load(4), kStart).seconds;
  history.add(kServer, load(4.4), kStart + seconds(1));
  const AveragedLoad& averaged = history.add(kServer, load(3.6), kStart + seconds(2));
  EXPECT_NEAR(averaged.load.demand, 4, 0.2);
  EXPECT_GT(averaged.seconds, first);
}

TEST(LoadHistoryTest, ChangeOfTheLoadOrTheServiceTimeStartsANewAverage) {
  LoadHistory history;
  const double first = history.add(kServer, load(2), kStart).seconds;
  history.add(kServer, load(2), kStart + seconds(3));
  const AveragedLoad& higher = history.add(kServer, load(8), kStart + seconds(4));
  EXPECT_EQ(higher.load.demand, 8);
  EXPECT_EQ(higher.seconds, first);
  history.add(kServer, load(8), kStart + seconds(6));
  const AveragedLoad& slower = history.add(kServer, {8, 6, 3 * kServiceSeconds}, kStart + seconds(7));
  EXPECT_EQ(slower.seconds, first);
  EXPECT_EQ(slower.load.service_seconds, 3 * kServiceSeconds);
}

TEST(LoadHistoryTest, AveragingTimeIsBounded) {
  LoadHistory history;
  double averaged_seconds = 0;
  for (int second = 0; second < 60; ++second) {
    averaged_seconds = history.add(kServer, load(4), kStart + seconds(second)).seconds;
  }
  EXPECT_LT(averaged_seconds, 6);
}

TEST(LoadHistoryTest, ForgottenServersStartANewAverage) {
  LoadHistory history;
  const double first = history.add(kServer, load(4), kStart).seconds;
  history.add(kServer, load(4), kStart + seconds(2));
  history.forget(kServer);
  EXPECT_EQ(history.add(kServer, load(4), kStart + seconds(3)).seconds, first);
  history.keepOnly({InstanceId("i-2")});
  EXPECT_EQ(history.add(kServer, load(4), kStart + seconds(4)).seconds, first);
}

}  // namespace
}  // namespace shedlever
