/// @file
/// The simulator's checks see what they are there for.

#include "source/lab/sim/ownership_checks.h"

#include <gtest/gtest.h>

namespace shedlever::sim::test {
namespace {

constexpr Key kLast = kKeyCount - 1;
constexpr Duration kHold = std::chrono::seconds(2);

class OwnershipChecksTest : public ::testing::Test {
 protected:
  void take(SimulatedServer& server, FenceToken token) {
    ASSERT_TRUE(server.grant({0, kLast, token, kHold, {}}, false));
    checks_.onAcquired(server, 0, kLast, token, running());
  }

  OwnershipChecks::Servers running() const { return {&first_, &second_}; }

  VirtualTime time_;
  SimulatedServer first_{time_, InstanceId("i-1")};
  SimulatedServer second_{time_, InstanceId("i-2")};
  OwnershipChecks checks_;
};

TEST_F(OwnershipChecksTest, OneOwnerIsSound) {
  take(first_, 1);
  checks_.check(running(), time_.now());
  EXPECT_TRUE(checks_.violations().empty());
}

TEST_F(OwnershipChecksTest, TwoOwnersAreSeenAtEachSampledKey) {
  take(first_, 1);
  take(second_, 2);
  ASSERT_TRUE(checks_.violations().empty());
  checks_.check(running(), time_.now());
  EXPECT_EQ(checks_.violations().size(), OwnershipChecks::kSampleCount);
}

TEST_F(OwnershipChecksTest, TokenThatDoesNotRiseIsSeen) {
  take(first_, 2);
  take(second_, 2);
  EXPECT_EQ(checks_.violations().size(), OwnershipChecks::kSampleCount);
}

}  // namespace
}  // namespace shedlever::sim::test
