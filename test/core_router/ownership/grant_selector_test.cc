/// @file
/// Which ranges a node may grant to its server.

#include "source/core/router/ownership/grant_selector.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

const InstanceId kServer("i-self");
const OwnerLocation kSelf{kServer, NodeName("self")};
const OwnerLocation kOther{InstanceId("i-other"), NodeName("other")};

/// The server owns the first and the third quarter of the keys.
class GrantSelectorTest : public ::testing::Test {
 protected:
  OwnedRange range(std::size_t index) const { return table_.ranges().at(index); }

  static ReportedRange heldAs(const OwnedRange& range) { return {range.keys.first, range.keys.last, range.token}; }

  OwnerTable table_ = OwnerTable::divideEvenly({kSelf, kOther}, 2);
  GrantSelector selector_{kSelf.node, table_};
};

TEST_F(GrantSelectorTest, OwnedRangesAreThoseOfTheServerAtThisNode) {
  EXPECT_EQ(selector_.owned(kServer), (std::vector{range(0), range(2)}));
  table_.assign(range(2).keys, {kServer, kOther.node}, {});
  EXPECT_EQ(selector_.owned(kServer), std::vector{range(0)});
}

TEST_F(GrantSelectorTest, RangeThatIsBeingReleasedIsNotGrantedAgain) {
  ASSERT_TRUE(table_.beginRelease(range(0).keys, kServer));
  EXPECT_EQ(selector_.owned(kServer), std::vector{range(2)});
  EXPECT_EQ(selector_.ownedOrStillHeld(kServer, {}), std::vector{range(2)});
}

TEST_F(GrantSelectorTest, RangeThatIsBeingReleasedStaysGrantedIfTheServerStillHoldsIt) {
  ASSERT_TRUE(table_.beginRelease(range(0).keys, kServer));
  KeyReport report;
  report.held = {heldAs(range(0))};
  EXPECT_EQ(selector_.ownedOrStillHeld(kServer, report), (std::vector{range(2), range(0)}));
}

TEST_F(GrantSelectorTest, RangeThatIsBeingReleasedAndHeldUnderAnotherTokenIsNotGranted) {
  ASSERT_TRUE(table_.beginRelease(range(0).keys, kServer));
  KeyReport report;
  report.held = {heldAs(range(0))};
  ++report.held.front().token;
  EXPECT_EQ(selector_.ownedOrStillHeld(kServer, report), std::vector{range(2)});
}

TEST_F(GrantSelectorTest, HeldRangeIsResumedUnderItsToken) {
  const Key middle = static_cast<Key>(range(0).keys.first + 100);
  KeyReport report;
  report.held = {{range(0).keys.first, middle, 77}};
  const std::vector<OwnedRange> resumed = selector_.resumable(kServer, report);
  ASSERT_EQ(resumed.size(), 1U);
  EXPECT_EQ(resumed.front().keys, (KeyRange{range(0).keys.first, middle}));
  EXPECT_EQ(resumed.front().owner, kServer);
  EXPECT_EQ(resumed.front().node, kSelf.node);
  EXPECT_EQ(resumed.front().token, 77U);
}

TEST_F(GrantSelectorTest, HeldRangeWithAKeyOfAnotherOwnerIsNotResumed) {
  KeyReport report;
  report.held = {{range(0).keys.first, range(1).keys.first, 77}, heldAs(range(2))};
  const std::vector<OwnedRange> resumed = selector_.resumable(kServer, report);
  ASSERT_EQ(resumed.size(), 1U);
  EXPECT_EQ(resumed.front().keys, range(2).keys);
}

TEST_F(GrantSelectorTest, HeldRangeIsResumedWhileNoTableIsKnown) {
  table_ = {};
  KeyReport report;
  report.held = {{10, 20, 5}};
  EXPECT_EQ(selector_.resumable(kServer, report).size(), 1U);
}

}  // namespace
}  // namespace shedlever::test
