/// @file
/// The limits of a server's queue while the server is cold or names a limit.

#include "source/core/router/admission/server_limits.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(10)};

class ServerLimitsTest : public ::testing::Test {
 protected:
  /// @return how many of 20 requests start at this time.
  int startsAt(TimePoint now) {
    int started = 0;
    for (int i = 0; i < 20; ++i) {
      const QueueDecision decision = queue_.admit(++ticket_, {0, 0, seconds(1), now}, now, Duration::zero());
      started += decision.verdict == QueueVerdict::Start ? 1 : 0;
    }
    return started;
  }

  static ServerCondition naming(std::optional<double> per_second) { return {per_second, false, false}; }

  SlotQueue queue_{100};
  ServerLimits limits_{queue_};
  QueueTicket ticket_ = 0;
};

TEST_F(ServerLimitsTest, ColdServerIsLimitedUntilItIsWarm) {
  limits_.setColdRate(5, kNow);
  limits_.setCold(seconds(3), kNow);
  EXPECT_EQ(startsAt(kNow), 5);
  limits_.update(kNow + seconds(2));
  EXPECT_EQ(startsAt(kNow + seconds(2)), 5);
  limits_.update(kNow + seconds(3));
  EXPECT_EQ(startsAt(kNow + seconds(3)), 20);
}

TEST_F(ServerLimitsTest, WithoutAColdRateAColdServerIsNotLimited) {
  limits_.setCold(seconds(3), kNow);
  EXPECT_EQ(startsAt(kNow), 20);
}

TEST_F(ServerLimitsTest, ServerThatMayBeColdIsLimitedUntilItsNextReport) {
  limits_.setColdRate(5, kNow);
  limits_.assumeCold(kNow);
  EXPECT_EQ(startsAt(kNow), 5);
  limits_.setCold(Duration::zero(), kNow + seconds(1));
  EXPECT_EQ(startsAt(kNow + seconds(1)), 20);
}

// Guards against an assumption that shortens a longer time from a report.
TEST_F(ServerLimitsTest, AssumedColdTimeDoesNotShortenAReportedOne) {
  limits_.setColdRate(5, kNow);
  limits_.setCold(seconds(9), kNow);
  limits_.assumeCold(kNow + seconds(1));
  limits_.update(kNow + seconds(8));
  EXPECT_EQ(startsAt(kNow + seconds(8)), 5);
}

TEST_F(ServerLimitsTest, NamedLimitAppliesUntilAnotherInstanceRuns) {
  EXPECT_EQ(limits_.onResponse(naming(4.0), kNow, kNow), LimitChange::Named);
  EXPECT_EQ(limits_.named(), 4.0);
  EXPECT_EQ(startsAt(kNow), 2);
  limits_.onNewInstance();
  EXPECT_EQ(limits_.named(), std::nullopt);
  EXPECT_EQ(startsAt(kNow), 20);
}

TEST_F(ServerLimitsTest, CommandResponseWithoutALimitChangesNothing) {
  limits_.onResponse(naming(4.0), kNow, kNow);
  EXPECT_EQ(limits_.onCommandResponse(naming(std::nullopt), kNow + seconds(1), kNow + seconds(1)), LimitChange::None);
  EXPECT_EQ(limits_.named(), 4.0);
}

TEST_F(ServerLimitsTest, FewRequestsStartWhileTheNamedLimitIsUnknown) {
  limits_.assumeNamedLimitUnknown();
  EXPECT_EQ(startsAt(kNow), 1);
  limits_.onNamedLimitKnown();
  EXPECT_EQ(startsAt(kNow), 20);
}

}  // namespace
}  // namespace shedlever::test
