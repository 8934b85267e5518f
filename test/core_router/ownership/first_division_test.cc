/// @file
/// When the keys of a service are divided for the first time.

#include "source/core/router/ownership/first_division.h"

#include <gtest/gtest.h>

#include <string>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kTick = milliseconds(50);

class FirstDivisionTest : public ::testing::Test {
 protected:
  void add(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      const std::string name = std::to_string(servers_.available.size());
      servers_.available.push_back({InstanceId("i" + name), NodeName("n" + name)});
    }
  }

  /// Advances by one tick.
  DivisionStep tick() {
    now_ += kTick;
    return division_.next(servers_, kStart, now_);
  }

  /// @return the step that ends the wait, at most `limit` later; Wait if there is none.
  DivisionStep runUntilStep(Duration limit) {
    const TimePoint end = now_ + limit;
    while (now_ < end) {
      const DivisionStep step = tick();
      if (step != DivisionStep::Wait) {
        return step;
      }
    }
    return DivisionStep::Wait;
  }

  OwnershipConfig config_;
  /// The store always confirms at once, unless a test says otherwise.
  KnownServers servers_{{}, 0, TimePoint::max()};
  TimePoint now_ = kStart;
  FirstDivision division_{config_};
};

TEST_F(FirstDivisionTest, DividesOnceNoServerHasAppearedForTheDelay) {
  add(3);
  EXPECT_EQ(runUntilStep(seconds(5)), DivisionStep::Divide);
  EXPECT_NEAR(static_cast<double>((now_ - kStart).count()), static_cast<double>(config_.first_division_delay.count()),
              2.0 * static_cast<double>(kTick.count()));
}

// Guards against a division among the few servers that are known while the others of a large fleet are still read.
TEST_F(FirstDivisionTest, WaitsWhileServersKeepAppearing) {
  for (Duration passed{}; passed < seconds(5); passed += kTick) {
    add(7);
    ASSERT_EQ(tick(), DivisionStep::Wait);
  }
  EXPECT_EQ(runUntilStep(config_.first_division_delay + kTick), DivisionStep::Divide);
}

// Guards against a node whose reads fail dividing the keys among itself alone.
TEST_F(FirstDivisionTest, ConfirmsTheServersFirstIfTheyMayNotBeAll) {
  add(1);
  servers_.confirmed_at = kStart + milliseconds(100);
  EXPECT_EQ(runUntilStep(seconds(5)), DivisionStep::ConfirmServers);
  EXPECT_EQ(tick(), DivisionStep::Wait);
  EXPECT_EQ(runUntilStep(seconds(1)), DivisionStep::ConfirmServers);
  servers_.confirmed_at = now_;
  add(481);
  EXPECT_EQ(runUntilStep(config_.first_division_delay - kTick), DivisionStep::Wait);
  EXPECT_EQ(runUntilStep(3 * kTick), DivisionStep::ConfirmServers);
  servers_.confirmed_at = now_;
  EXPECT_EQ(tick(), DivisionStep::Divide);
}

// Guards against servers that keep being replaced holding up the division for ever.
TEST_F(FirstDivisionTest, DividesAfterTheLimitThoughServersKeepChanging) {
  add(1);
  DivisionStep step = DivisionStep::Wait;
  while (step == DivisionStep::Wait && now_ < kStart + seconds(60)) {
    add(1);
    step = tick();
  }
  EXPECT_EQ(step, DivisionStep::Divide);
  EXPECT_LE(now_ - kStart, config_.first_division_limit + 2 * kTick);
}

TEST_F(FirstDivisionTest, NodesWithHigherRankWaitLonger) {
  add(3);
  servers_.rank = 2;
  EXPECT_EQ(runUntilStep(config_.first_division_delay + config_.rank_delay), DivisionStep::Wait);
  EXPECT_EQ(runUntilStep(config_.rank_delay + 2 * kTick), DivisionStep::Divide);
}

TEST_F(FirstDivisionTest, WaitsWhileNoServerAcceptsRequests) {
  EXPECT_EQ(runUntilStep(seconds(30)), DivisionStep::Wait);
}

}  // namespace
}  // namespace shedlever::test
