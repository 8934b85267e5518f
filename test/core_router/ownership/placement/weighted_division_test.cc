/// @file
/// The first division of the keys by the servers' slots.

#include "source/core/router/ownership/placement/weighted_division.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace shedlever {
namespace {

OwnerLocation location(const std::string& node) { return {InstanceId("i-" + node), NodeName(node)}; }

std::uint32_t keysOf(const OwnerTable& table, const std::string& node) {
  std::uint32_t keys = 0;
  for (const OwnedRange& range : table.ownedBy(InstanceId("i-" + node))) {
    keys += range.keys.size();
  }
  return keys;
}

class WeightedDivisionTest : public ::testing::Test {
 protected:
  OwnerTable divide(std::map<std::string, std::uint32_t> slots) const {
    return resizeBySlots(even_, [slots = std::move(slots)](const NodeName& node) { return slots.at(node.value); });
  }

  const OwnerTable even_ = OwnerTable::divideEvenly({location("a"), location("b"), location("c")}, 4, 7);
};

TEST_F(WeightedDivisionTest, ServersOfTheSameSizeGetTheEvenDivision) {
  EXPECT_EQ(divide({{"a", 6}, {"b", 6}, {"c", 6}}), even_);
  EXPECT_EQ(divide({{"a", 0}, {"b", 0}, {"c", 0}}), even_);
}

// Guards against a first division by count, by which small servers refuse requests until keys are moved.
TEST_F(WeightedDivisionTest, KeysAreInProportionToTheSlots) {
  const OwnerTable table = divide({{"a", 2}, {"b", 6}, {"c", 8}});
  EXPECT_NEAR(keysOf(table, "a"), 65536.0 / 8, 4);
  EXPECT_NEAR(keysOf(table, "b"), 65536.0 * 3 / 8, 4);
  EXPECT_NEAR(keysOf(table, "c"), 65536.0 / 2, 4);
}

TEST_F(WeightedDivisionTest, OwnersTokensAndNumberOfRangesStay) {
  const OwnerTable table = divide({{"a", 1}, {"b", 100}, {"c", 7}});
  ASSERT_EQ(table.ranges().size(), even_.ranges().size());
  EXPECT_EQ(table.lastToken(), even_.lastToken());
  EXPECT_EQ(table.epoch(), even_.epoch());
  EXPECT_EQ(table.changes(), even_.changes());
  for (std::size_t i = 0; i < table.ranges().size(); ++i) {
    EXPECT_EQ(table.ranges()[i].owner, even_.ranges()[i].owner);
    EXPECT_EQ(table.ranges()[i].token, even_.ranges()[i].token);
  }
}

TEST_F(WeightedDivisionTest, ServerWithUnknownSlotsGetsTheMean) {
  const OwnerTable table = divide({{"a", 2}, {"b", 6}, {"c", 0}});
  EXPECT_NEAR(keysOf(table, "c"), 65536.0 / 3, 4);
}

TEST_F(WeightedDivisionTest, DivisionIsEvenIfAServerWouldGetNoKeys) {
  EXPECT_EQ(divide({{"a", 1}, {"b", 10000}, {"c", 10000}}), even_);
}

}  // namespace
}  // namespace shedlever
