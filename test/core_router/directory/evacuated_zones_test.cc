/// @file
/// Evacuated zones as known from the store's objects and from other processes.

#include "source/core/router/directory/evacuated_zones.h"

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

TEST_F(EvacuatedZonesTest, ZonesAreUnknownBeforeTheFirstListing) {
  EXPECT_FALSE(zones_.known());
  list({});
  EXPECT_TRUE(zones_.known());
  EXPECT_TRUE(zones_.zones().empty());
}

TEST_F(EvacuatedZonesTest, EvacuationsOfTwoZonesEndIndependently) {
  list({zone("a", 5)});
  zones_.onObject(zone("b", 7), false);
  EXPECT_EQ(zones_.zones(), (std::set<ZoneName>{ZoneName("a"), ZoneName("b")}));
  zones_.onObject(zone("a", 9), true);
  EXPECT_EQ(zones_.zones(), std::set<ZoneName>{ZoneName("b")});
}

// A lost watch must not hide the end of an evacuation.
TEST_F(EvacuatedZonesTest, ZoneMissingInALaterListingIsNoLongerEvacuated) {
  list({zone("a", 5)});
  list({zone("b", 8)});
  EXPECT_FALSE(zones_.contains(ZoneName("a")));
  EXPECT_TRUE(zones_.contains(ZoneName("b")));
}

// During a listing an evacuated zone may be missing; acting on this would end its evacuation.
TEST_F(EvacuatedZonesTest, IsNotCompleteDuringAListing) {
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

// A late message about the end of an earlier evacuation must not end a later one.
TEST_F(EvacuatedZonesTest, LateEndOfAnEarlierEvacuationIsIgnored) {
  list({zone("a", 12)});
  zones_.onObject(zone("a", 9), true);
  EXPECT_TRUE(zones_.contains(ZoneName("a")));
}

TEST_F(EvacuatedZonesTest, StartingProcessAdoptsZonesOfAPeer) {
  list({zone("a", 5)});
  EvacuatedZones started;
  started.adoptPeerCopies(zones_.copies());
  EXPECT_TRUE(started.known());
  EXPECT_TRUE(started.contains(ZoneName("a")));
}

TEST_F(EvacuatedZonesTest, ZonesOfAPeerAreIgnoredOnceKnownFromTheStore) {
  list({});
  zones_.adoptPeerCopies({{"a", 5, "{}"}});
  EXPECT_FALSE(zones_.contains(ZoneName("a")));
}

// A restored store may lack objects until operators write them again.
TEST_F(EvacuatedZonesTest, ListingOfALaterEpochKeepsEarlierZonesUntilTheyAreDropped) {
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
