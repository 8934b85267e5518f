/// @file
/// From the operators' wish that a zone gets nothing to what its gates begin.

#include "source/core/router/zone_evacuation.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(10)};
constexpr Duration kWithin = seconds(5);
constexpr Duration kKeysMove = milliseconds(1500);

class ZoneEvacuationTest : public ::testing::Test {
 protected:
  ZoneEvacuation evacuation_{kWithin};
};

TEST_F(ZoneEvacuationTest, NothingIsBegunBeforeItIsKnown) {
  EXPECT_EQ(evacuation_.phase(kNow), EvacuationPhase::Complete);
}

TEST_F(ZoneEvacuationTest, WhereZonesCantBeEvacuatedAllIsBegun) {
  EXPECT_EQ(ZoneEvacuation(Duration::zero()).phase(kNow), EvacuationPhase::None);
}

TEST_F(ZoneEvacuationTest, KeysMoveFirstThenNothingIsBegun) {
  EXPECT_TRUE(evacuation_.update(false, kNow));
  EXPECT_EQ(evacuation_.phase(kNow), EvacuationPhase::None);
  EXPECT_TRUE(evacuation_.update(true, kNow));
  EXPECT_EQ(evacuation_.phase(kNow + kKeysMove - milliseconds(1)), EvacuationPhase::MovingKeys);
  EXPECT_EQ(evacuation_.phase(kNow + kKeysMove), EvacuationPhase::Complete);
}

TEST_F(ZoneEvacuationTest, TheSameNewsChangesNothing) {
  evacuation_.update(false, kNow);
  evacuation_.update(true, kNow);
  EXPECT_FALSE(evacuation_.update(true, kNow + seconds(1)));
  EXPECT_EQ(evacuation_.phase(kNow + kKeysMove), EvacuationPhase::Complete);
}

TEST_F(ZoneEvacuationTest, WhoLearnsOfItAtItsStartBeginsNothing) {
  EXPECT_TRUE(evacuation_.update(true, kNow));
  EXPECT_EQ(evacuation_.phase(kNow), EvacuationPhase::Complete);
}

// Withdrawn and asked for anew: the second one has its own time.
TEST_F(ZoneEvacuationTest, EachWishHasItsOwnTime) {
  evacuation_.update(false, kNow);
  evacuation_.update(true, kNow);
  EXPECT_TRUE(evacuation_.update(false, kNow + seconds(1)));
  EXPECT_EQ(evacuation_.phase(kNow + seconds(1)), EvacuationPhase::None);
  evacuation_.update(true, kNow + seconds(1));
  EXPECT_EQ(evacuation_.phase(kNow + kKeysMove), EvacuationPhase::MovingKeys);
}

}  // namespace
}  // namespace shedlever::test
