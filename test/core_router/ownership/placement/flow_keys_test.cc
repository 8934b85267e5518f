/// @file
/// An owner finds the keys for the flows of a plan; a key with very much load does not slow down the owner's others.

#include "source/core/router/ownership/placement/flow_keys.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace shedlever {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr double kSlots = 6;
constexpr double kServiceSeconds = 0.1;
constexpr KeyRange kOwned{1000, 1999};
constexpr Key kHotKey = 1500;

OwnerLocation location(const std::string& name) { return {InstanceId("i-" + name), NodeName(name)}; }

class FlowKeysTest : public ::testing::Test {
 protected:
  FlowKeysTest() {
    meter_.add(0, 1e-9, kNow - std::chrono::seconds(60));
    OwnedRange range;
    range.keys = kOwned;
    input_.owned = {range};
    input_.targets = {{location("alike"), {1, kSlots, kServiceSeconds}},
                      {location("fast"), {1, kSlots, kServiceSeconds / 2}},
                      {location("fastest"), {1, kSlots, kServiceSeconds / 3}}};
  }

  void addSlots(const KeyRange& keys, double slots) {
    const double amount = slots / kServiceSeconds * meter_.windowSeconds(kNow) / keys.size();
    for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
      meter_.add(static_cast<Key>(key), amount, kNow);
    }
    input_.own_load = {input_.own_load.demand + slots, kSlots, kServiceSeconds};
  }

  double slotsTo(const std::vector<PlannedMove>& moves, const std::string& name) const {
    double slots = 0;
    for (const PlannedMove& move : moves) {
      slots += move.to == location(name) ? meter_.rate(move.keys, kNow) * kServiceSeconds : 0;
    }
    return slots;
  }

  static bool movesHotKey(const std::vector<PlannedMove>& moves) {
    return std::any_of(moves.begin(), moves.end(), [](const PlannedMove& move) { return move.keys.contains(kHotKey); });
  }

  std::vector<PlannedMove> choose() const { return chooseKeys(meter_, input_, kNow); }

  KeyMeter meter_{std::chrono::seconds(1)};
  FlowInput input_;
};

TEST_F(FlowKeysTest, EachFlowGetsItsLoad) {
  addSlots(kOwned, 8);
  input_.flows = {{location("alike"), 2}, {location("fast"), 1}};
  const auto moves = choose();
  EXPECT_NEAR(slotsTo(moves, "alike"), 2, 0.3);
  EXPECT_NEAR(slotsTo(moves, "fast"), 1, 0.3);
  EXPECT_EQ(slotsTo(moves, "fastest"), 0);
}

TEST_F(FlowKeysTest, WithoutFlowsOrLoadNothingMoves) {
  EXPECT_TRUE(choose().empty());
  input_.flows = {{location("alike"), 2}};
  EXPECT_TRUE(choose().empty());
}

// Guards against a key with very much load whose owner's other keys are refused with it.
TEST_F(FlowKeysTest, KeyWithMoreLoadThanTheOwnerIsToKeepGoesAloneToTheFastestServer) {
  addSlots(kOwned, 2);
  addSlots({kHotKey, kHotKey}, 7);
  input_.flows = {{location("alike"), 3}, {location("fast"), 3}};
  const auto moves = choose();
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves.front().keys, (KeyRange{kHotKey, kHotKey}));
  EXPECT_EQ(moves.front().to, location("fastest"));
}

TEST_F(FlowKeysTest, FullServersDoNotGetTheHottestKey) {
  addSlots(kOwned, 2);
  addSlots({kHotKey, kHotKey}, 7);
  input_.flows = {{location("alike"), 6}};
  input_.targets[2].load.demand = 5;
  const auto moves = choose();
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves.front().to, location("fast"));
}

// Guards against two hot keys that stay at one server, because each is too large for the flows and no server is faster.
TEST_F(FlowKeysTest, OneOfTwoHotKeysMovesToAServerThatIsAsFast) {
  addSlots({kHotKey, kHotKey}, 3.7);
  addSlots({kHotKey + 1, kHotKey + 1}, 3.5);
  input_.flows = {{location("alike"), 0.6}, {location("fast"), 0.6}, {location("fastest"), 3.6}};
  for (BalanceTarget& target : input_.targets) {
    target.load.service_seconds = kServiceSeconds;
  }
  const auto moves = choose();
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves.front().keys, (KeyRange{kHotKey, kHotKey}));
}

TEST_F(FlowKeysTest, OtherKeysMoveIfNoServerIsBetterForTheHottestKey) {
  addSlots(kOwned, 2);
  addSlots({kHotKey, kHotKey}, 7);
  input_.flows = {{location("alike"), 3}, {location("fast"), 3}};
  for (BalanceTarget& target : input_.targets) {
    target.load.service_seconds = kServiceSeconds;
  }
  const auto moves = choose();
  EXPECT_FALSE(movesHotKey(moves));
  EXPECT_GT(slotsTo(moves, "alike") + slotsTo(moves, "fast"), 1.4);
}

TEST_F(FlowKeysTest, AfterTheHottestKeyOtherKeysMoveOnlyWhileTheOwnerHasMoreThanItIsToKeep) {
  addSlots(kOwned, 6);
  addSlots({kHotKey, kHotKey}, 4);
  input_.flows = {{location("alike"), 4}, {location("fast"), 3}};
  const auto moves = choose();
  EXPECT_TRUE(movesHotKey(moves));
  EXPECT_NEAR(slotsTo(moves, "alike"), 3, 0.5);
  EXPECT_EQ(slotsTo(moves, "fast"), 0);
}

}  // namespace
}  // namespace shedlever
