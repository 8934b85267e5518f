/// @file
/// Who hears of changes in the store from whom.

#include "source/core/router/knowledge/relay_order.h"

#include <gtest/gtest.h>

#include <list>
#include <set>

namespace shedlever::test {
namespace {

class RelayOrderTest : public ::testing::Test {
 protected:
  NodeRecord& add(const std::string& zone, const std::string& name) {
    NodeRecord record;
    record.node = NodeName(name);
    record.zone = ZoneName(zone);
    record.instance = InstanceId("i-" + name);
    return records_.emplace_back(std::move(record));
  }

  RelayPlace placeOf(const std::string& zone, const std::string& name) const {
    std::vector<const NodeRecord*> nodes;
    for (const NodeRecord& record : records_) {
      nodes.push_back(&record);
    }
    return relayPlaceOf(NodeName(name), ZoneName(zone), nodes,
                        [this](const NodeName& node) { return unreachable_.contains(node); });
  }

  /// Steps from a node to the one that watches the store, each to the best relay.
  std::size_t stepsToTheStore(std::string zone, std::string name) const {
    std::size_t steps = 0;
    for (RelayPlace place = placeOf(zone, name); !place.relays.empty(); place = placeOf(zone, name)) {
      name = place.relays.front().value;
      for (const NodeRecord& record : records_) {
        zone = record.node.value == name ? record.zone.value : zone;
      }
      ++steps;
    }
    return steps;
  }

  std::list<NodeRecord> records_;
  std::set<NodeName> unreachable_;
};

// However many nodes there are: one watches the store, and all others hear of a change in two steps.
TEST_F(RelayOrderTest, OneOfHundredsWatchesTheStoreAndAllOthersAreTwoStepsAway) {
  constexpr int kZones = 6;
  constexpr int kEach = 40;
  std::vector<std::pair<std::string, std::string>> nodes;
  for (int zone = 0; zone < kZones; ++zone) {
    for (int node = 0; node < kEach; ++node) {
      const std::string zone_name = "zone-" + std::to_string(zone);
      nodes.emplace_back(zone_name, zone_name + "-" + std::to_string(100 + node));
      add(nodes.back().first, nodes.back().second);
    }
  }
  int sources = 0;
  for (const auto& [zone, name] : nodes) {
    sources += placeOf(zone, name).rank == RelayRank::Source ? 1 : 0;
    EXPECT_LE(stepsToTheStore(zone, name), 2U) << name;
  }
  EXPECT_EQ(sources, 1);
}

TEST_F(RelayOrderTest, NodesOfAZoneFollowItsFirstAndKnowTheNext) {
  add("a", "a-1");
  add("b", "b-1");
  add("b", "b-2");
  add("b", "b-3");
  EXPECT_EQ(placeOf("a", "a-1").rank, RelayRank::Source);
  EXPECT_EQ(placeOf("b", "b-1").rank, RelayRank::Zone);
  EXPECT_EQ(placeOf("b", "b-1").relays, std::vector<NodeName>{NodeName("a-1")});
  EXPECT_EQ(placeOf("b", "b-3").rank, RelayRank::Follower);
  EXPECT_EQ(placeOf("b", "b-3").relays, (std::vector<NodeName>{NodeName("b-1"), NodeName("b-2")}));
}

TEST_F(RelayOrderTest, OthersBehindANodeAreKnownToItToo) {
  add("a", "a-1");
  add("b", "b-1");
  add("b", "b-2");
  add("b", "b-3");
  add("c", "c-1");
  EXPECT_EQ(placeOf("a", "a-1").others, (std::vector<NodeName>{NodeName("b-1"), NodeName("c-1")}));
  EXPECT_EQ(placeOf("b", "b-2").others, (std::vector<NodeName>{NodeName("a-1"), NodeName("c-1"), NodeName("b-3")}));
}

TEST_F(RelayOrderTest, NodesThatLeaveOrCantBeReachedAreNotFollowed) {
  add("b", "b-1").draining = true;
  add("b", "b-2");
  add("b", "b-3");
  unreachable_ = {NodeName("b-2")};
  EXPECT_EQ(placeOf("b", "b-3").rank, RelayRank::Source);
  EXPECT_EQ(placeOf("b", "b-4").relays, std::vector<NodeName>{NodeName("b-3")});
}

// It would ask the store for others, who don't hear it.
TEST_F(RelayOrderTest, WhoCanReachHardlyAnybodyIsNoSource) {
  add("a", "a-1");
  add("b", "b-1");
  add("b", "b-2");
  unreachable_ = {NodeName("a-1"), NodeName("b-1")};
  EXPECT_EQ(placeOf("b", "b-2").rank, RelayRank::Alone);
}

}  // namespace
}  // namespace shedlever::test
