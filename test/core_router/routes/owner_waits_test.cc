#include "source/core/router/routes/owner_waits.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint() + seconds(100);
const ServiceName kService("s");

TEST(OwnerWaitsTest, ServiceWithoutRecordedWaitsIsExpectedToHaveAnOwnerAtOnce) {
  EXPECT_EQ(OwnerWaits().expectedRest(kService, kStart, kStart), Duration::zero());
}

TEST(OwnerWaitsTest, TimeAlreadyWaitedCounts) {
  OwnerWaits waits;
  waits.record(kService, milliseconds(400), kStart);
  const Duration at_first = waits.expectedRest(kService, kStart, kStart);
  EXPECT_GE(at_first, milliseconds(400));
  EXPECT_EQ(waits.expectedRest(kService, kStart - milliseconds(100), kStart), at_first - milliseconds(100));
  EXPECT_EQ(waits.expectedRest(kService, kStart - seconds(5), kStart), Duration::zero());
}

// Waits of an earlier takeover say nothing about the present one.
TEST(OwnerWaitsTest, OldWaitsAreIgnored) {
  OwnerWaits waits;
  waits.record(kService, milliseconds(400), kStart);
  const TimePoint later = kStart + milliseconds(2001);
  EXPECT_EQ(waits.expectedRest(kService, later, later), Duration::zero());
}

}  // namespace
}  // namespace shedlever::test
