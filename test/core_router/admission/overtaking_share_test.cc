/// @file
/// The share of the slot time that requests get which overtake earlier ones.

#include "source/core/router/admission/overtaking_share.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

/// Starts requests of these service times, overtaking ones whenever they may. @return slot time of the others.
Duration startMany(OvertakingShare& share, Duration overtaking, Duration in_order, Duration total) {
  Duration used{};
  Duration used_in_order{};
  while (used < total) {
    if (share.mayOvertake()) {
      share.onOvertaking(overtaking);
      used += overtaking;
    } else {
      share.onInOrder(in_order);
      used += in_order;
      used_in_order += in_order;
    }
  }
  return used_in_order;
}

TEST(OvertakingShareTest, RequestsInOrderGetAThirdOfTheSlotTime) {
  OvertakingShare share;
  const Duration total = std::chrono::seconds(100);
  const Duration in_order = startMany(share, milliseconds(40), milliseconds(180), total);
  EXPECT_NEAR(static_cast<double>(in_order / milliseconds(1)), 33'333, 500);
}

TEST(OvertakingShareTest, FirstRequestMayOvertake) { EXPECT_TRUE(OvertakingShare().mayOvertake()); }

// Guards against a long time without overtaking that would let short requests starve the others afterwards.
TEST(OvertakingShareTest, UnusedShareIsNotSavedUp) {
  OvertakingShare share;
  for (int i = 0; i < 1000; ++i) {
    share.onInOrder(milliseconds(180));
  }
  const Duration in_order = startMany(share, milliseconds(40), milliseconds(180), std::chrono::seconds(2));
  EXPECT_GE(in_order, milliseconds(360));
}

}  // namespace
}  // namespace shedlever::test
