#include "source/net/carried_identities.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

TEST(CarriedIdentitiesTest, NamesTheConnectionsThatHaveCarriedAnIdentity) {
  CarriedIdentities carried;
  carried.add("a", 1, kStart + seconds(2));
  carried.add("b", 1, kStart + seconds(2));
  carried.add("a", 2, kStart + seconds(2));
  EXPECT_EQ(carried.connectionsOf("a", kStart), (std::vector<ConnectionSerial>{1, 2}));
  EXPECT_EQ(carried.connectionsOf("b", kStart), (std::vector<ConnectionSerial>{1}));
  EXPECT_TRUE(carried.connectionsOf("c", kStart).empty());
}

TEST(CarriedIdentitiesTest, ForgetsRequestsThatAreNotSentAgain) {
  CarriedIdentities carried;
  carried.add("a", 1, kStart + seconds(2));
  carried.add("b", 1, kStart + seconds(4));
  EXPECT_EQ(carried.connectionsOf("a", kStart + seconds(2)).size(), 1U) << "deadlines are estimates";
  EXPECT_TRUE(carried.connectionsOf("a", kStart + seconds(3)).empty());
  EXPECT_EQ(carried.size(), 1U);
  carried.connectionsOf("a", kStart + seconds(5));
  EXPECT_EQ(carried.size(), 0U);
}

TEST(CarriedIdentitiesTest, RemembersNothingWithoutAnIdentity) {
  CarriedIdentities carried;
  carried.add("", 1, kStart + seconds(2));
  EXPECT_EQ(carried.size(), 0U);
}

}  // namespace
}  // namespace shedlever::test
