/// @file
/// Which zones are evacuated, as the store's objects and other processes tell it.

#include "source/core/router/evacuated_zones.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

MetadataObject zone(const std::string& name, StoreRevision revision) { return {name, revision, "{}"}; }

class EvacuatedZonesTest : public ::testing::Test {
 protected:
  void list(const std::vector<MetadataObject>& objects) {
    zones_.beginList();
    for (const MetadataObject& object : objects) {
      zones_.onObject(object, false);
    }
    zones_.endList();
  }

  EvacuatedZones zones_;
};

TEST_F(EvacuatedZonesTest, NothingIsKnownBeforeTheFirstList) {
  EXPECT_FALSE(zones_.known());
  list({});
  EXPECT_TRUE(zones_.known());
  EXPECT_TRUE(zones_.zones().empty());
}

TEST_F(EvacuatedZonesTest, TwoZonesAtOnceEndOneByOne) {
  list({zone("a", 5)});
  zones_.onObject(zone("b", 7), false);
  EXPECT_EQ(zones_.zones(), (std::set<ZoneName>{ZoneName("a"), ZoneName("b")}));
  zones_.onObject(zone("a", 9), true);
  EXPECT_EQ(zones_.zones(), std::set<ZoneName>{ZoneName("b")});
}

// A watch was lost, and the evacuation withdrawn meanwhile.
TEST_F(EvacuatedZonesTest, WhatALaterListDoesNotHoldIsOver) {
  list({zone("a", 5)});
  list({zone("b", 8)});
  EXPECT_FALSE(zones_.contains(ZoneName("a")));
  EXPECT_TRUE(zones_.contains(ZoneName("b")));
}

// Amid a list of two zones only one of them is known again: whoever acted on that would end the other's evacuation.
TEST_F(EvacuatedZonesTest, IsNotSettledAmidAList) {
  EXPECT_FALSE(zones_.isComplete());
  list({zone("a", 5), zone("b", 6)});
  EXPECT_TRUE(zones_.isComplete());
  zones_.beginList();
  zones_.onObject(zone("a", 5), false);
  EXPECT_FALSE(zones_.isComplete());
  zones_.onObject(zone("b", 6), false);
  zones_.endList();
  EXPECT_TRUE(zones_.isComplete());
}

// Withdrawn, and asked for anew: the end of the first, told late, does not end the second.
TEST_F(EvacuatedZonesTest, LateEndOfAnEarlierEvacuationCountsForNothing) {
  list({zone("a", 12)});
  zones_.onObject(zone("a", 9), true);
  EXPECT_TRUE(zones_.contains(ZoneName("a")));
}

TEST_F(EvacuatedZonesTest, ProcessThatStartsIsToldByAnother) {
  list({zone("a", 5)});
  EvacuatedZones started;
  started.adoptPeerCopies(zones_.copies());
  EXPECT_TRUE(started.known());
  EXPECT_TRUE(started.contains(ZoneName("a")));
}

TEST_F(EvacuatedZonesTest, WhatOthersTellDoesNotUndoWhatTheStoreHasTold) {
  list({});
  zones_.adoptPeerCopies({{"a", 5, "{}"}});
  EXPECT_FALSE(zones_.contains(ZoneName("a")));
}

// Operators write their wishes again after the store has come back from a copy that may lack them.
TEST_F(EvacuatedZonesTest, ListOfALaterEraDoesNotEndWhatItLacksUntilItIsForgotten) {
  EvacuatedZones zones;
  zones.beginList(1);
  zones.onObject({"a", {1, 50}, "{}"}, false);
  zones.onObject({"b", {1, 51}, "{}"}, false);
  zones.endList();
  zones.beginList(2);
  zones.endList();
  EXPECT_TRUE(zones.contains(ZoneName("a")));
  zones.onObject({"a", {2, 41}, "{}"}, false);
  EXPECT_TRUE(zones.dropEpochsBefore(2));
  EXPECT_TRUE(zones.contains(ZoneName("a")));
  EXPECT_FALSE(zones.contains(ZoneName("b")));
  EXPECT_FALSE(zones.dropEpochsBefore(2));
  zones.beginList(2);
  zones.endList();
  EXPECT_FALSE(zones.contains(ZoneName("a")));
}

}  // namespace
}  // namespace shedlever::test
