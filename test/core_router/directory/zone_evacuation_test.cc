/// @file
/// Effect of a zone evacuation on the requests that a server starts.

#include "source/core/router/directory/zone_evacuation.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(10)};
constexpr Duration kTimeLimit = seconds(5);
constexpr Duration kMovingKeys = milliseconds(1500);

class ZoneEvacuationTest : public ::testing::Test {
 protected:
  ZoneEvacuation evacuation_{kTimeLimit};
};

TEST_F(ZoneEvacuationTest, PhaseIsCompleteBeforeTheZonesAreKnown) {
  EXPECT_EQ(evacuation_.phase(kNow), EvacuationPhase::Complete);
}

TEST_F(ZoneEvacuationTest, ZeroTimeLimitMeansNoEvacuation) {
  EXPECT_EQ(ZoneEvacuation(Duration::zero()).phase(kNow), EvacuationPhase::None);
}

TEST_F(ZoneEvacuationTest, KeysMoveBeforeTheEvacuationIsComplete) {
  EXPECT_TRUE(evacuation_.update(false, kNow));
  EXPECT_EQ(evacuation_.phase(kNow), EvacuationPhase::None);
  EXPECT_TRUE(evacuation_.update(true, kNow));
  EXPECT_EQ(evacuation_.phase(kNow + kMovingKeys - milliseconds(1)), EvacuationPhase::MovingKeys);
  EXPECT_EQ(evacuation_.phase(kNow + kMovingKeys), EvacuationPhase::Complete);
}

TEST_F(ZoneEvacuationTest, RepeatedUpdateChangesNothing) {
  evacuation_.update(false, kNow);
  evacuation_.update(true, kNow);
  EXPECT_FALSE(evacuation_.update(true, kNow + seconds(1)));
  EXPECT_EQ(evacuation_.phase(kNow + kMovingKeys), EvacuationPhase::Complete);
}

TEST_F(ZoneEvacuationTest, EvacuationKnownAtStartIsCompleteAtOnce) {
  EXPECT_TRUE(evacuation_.update(true, kNow));
  EXPECT_EQ(evacuation_.phase(kNow), EvacuationPhase::Complete);
}

// An evacuation that is revoked and requested again gets its full time.
TEST_F(ZoneEvacuationTest, EachEvacuationHasItsFullTime) {
  evacuation_.update(false, kNow);
  evacuation_.update(true, kNow);
  EXPECT_TRUE(evacuation_.update(false, kNow + seconds(1)));
  EXPECT_EQ(evacuation_.phase(kNow + seconds(1)), EvacuationPhase::None);
  evacuation_.update(true, kNow + seconds(1));
  EXPECT_EQ(evacuation_.phase(kNow + kMovingKeys), EvacuationPhase::MovingKeys);
}

}  // namespace
}  // namespace shedlever::test
