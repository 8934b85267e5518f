/// @file
/// Tests that the simulator's invariant checks detect violations.

#include "source/lab/sim/ownership_checks.h"

#include <gtest/gtest.h>

namespace shedlever::sim::test {
namespace {

constexpr Key kLast = kKeyCount - 1;
constexpr Duration kHold = std::chrono::seconds(2);

class OwnershipChecksTest : public ::testing::Test {
 protected:
  void acquire(SimulatedServer& server, FenceToken token) {
    ASSERT_TRUE(server.grant({0, kLast, token, kHold, {}}, false));
    checks_.onAcquired(server, 0, kLast, token);
  }

  OwnershipChecks::Servers running() const { return {&first_, &second_}; }

  VirtualTime time_;
  SimulatedServer first_{time_, InstanceId("i-1")};
  SimulatedServer second_{time_, InstanceId("i-2")};
  OwnershipChecks checks_;
};

TEST_F(OwnershipChecksTest, OneOwnerHasNoViolation) {
  acquire(first_, 1);
  checks_.check(running(), time_.now());
  EXPECT_TRUE(checks_.violations().empty());
}

TEST_F(OwnershipChecksTest, TwoOwnersViolateEachSampledKey) {
  acquire(first_, 1);
  acquire(second_, 2);
  ASSERT_TRUE(checks_.violations().empty());
  checks_.check(running(), time_.now());
  EXPECT_EQ(checks_.violations().size(), OwnershipChecks::kSampleCount);
}

TEST_F(OwnershipChecksTest, EqualTokenOfSecondOwnerViolatesEachSampledKey) {
  acquire(first_, 2);
  acquire(second_, 2);
  EXPECT_EQ(checks_.violations().size(), OwnershipChecks::kSampleCount);
}

// A successor must not get keys under the token of its predecessor, although the two never hold them at once.
TEST_F(OwnershipChecksTest, TokenOfAnEndedServerViolatesEachSampledKey) {
  {
    SimulatedServer ended(time_, InstanceId("i-0"));
    acquire(ended, 2);
  }
  acquire(first_, 2);
  EXPECT_EQ(checks_.violations().size(), OwnershipChecks::kSampleCount);
}

// A check that compared only with the latest holder would miss the token of the one before.
TEST_F(OwnershipChecksTest, TokenBelowThatOfAnyEarlierHolderViolatesEachSampledKey) {
  acquire(first_, 3);
  acquire(second_, 4);
  ASSERT_TRUE(checks_.violations().empty());
  SimulatedServer third(time_, InstanceId("i-3"));
  acquire(third, 3);
  EXPECT_EQ(checks_.violations().size(), 2 * OwnershipChecks::kSampleCount);
}

}  // namespace
}  // namespace shedlever::sim::test
