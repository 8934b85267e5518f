/// @file
/// Tests of the notices of leaving that a node's record holds.

#include "source/core/router/directory/leaving_notices.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

InstanceId instance(int number) { return InstanceId("i-" + std::to_string(number)); }

TEST(LeavingNoticesTest, NoticeIsAddedOnce) {
  LeavingNotices notices;
  EXPECT_FALSE(notices.contains(instance(1)));
  EXPECT_TRUE(notices.add(instance(1)));
  EXPECT_FALSE(notices.add(instance(1)));
  EXPECT_TRUE(notices.contains(instance(1)));
  EXPECT_EQ(notices.instances().size(), 1U);
}

TEST(LeavingNoticesTest, NoticesOfARecordAreAddedToThoseThatAreKnown) {
  LeavingNotices notices;
  notices.add(instance(2));
  EXPECT_TRUE(notices.addAll({instance(1), instance(2)}));
  EXPECT_FALSE(notices.addAll({instance(1), instance(2)}));
  EXPECT_FALSE(notices.addAll({}));
  EXPECT_EQ(notices.instances(), (std::vector<InstanceId>{instance(2), instance(1)}));
}

// Guards against records that grow without end.
TEST(LeavingNoticesTest, OldestNoticeIsDroppedFromAFullList) {
  LeavingNotices notices;
  for (int number = 1; number <= 5; ++number) {
    notices.add(instance(number));
  }
  EXPECT_EQ(notices.instances(), (std::vector<InstanceId>{instance(2), instance(3), instance(4), instance(5)}));
}

}  // namespace
}  // namespace shedlever::test
