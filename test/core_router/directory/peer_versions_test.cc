/// @file
/// Which version is spoken to a peer. Guards against processes of different builds that exchange no frame.

#include "source/core/router/directory/peer_versions.h"

#include <gtest/gtest.h>

#include "test/support/serving_node.h"

namespace shedlever::test {
namespace {

NodeRecord record(std::uint64_t incarnation, WireVersion stated) {
  NodeRecord made = servingNode("peer", ServiceName("maps"), 4);
  made.incarnation.value = incarnation;
  made.wire_version = stated;
  return made;
}

TEST(PeerVersionsTest, StatedVersionIsSpokenUpToTheNewestOfThisBuild) {
  PeerVersions versions;
  EXPECT_EQ(versions.versionFor(record(1, kNewestWireVersion)), kNewestWireVersion);
  EXPECT_EQ(versions.versionFor(record(1, kNewestWireVersion + 5)), kNewestWireVersion);
  EXPECT_EQ(versions.versionFor(record(1, 0)), kUnstatedWireVersion);
}

TEST(PeerVersionsTest, LowerVersionsAreTriedOnceEachAfterARejection) {
  PeerVersions versions;
  EXPECT_TRUE(versions.onRejected(record(1, 0), 6));
  EXPECT_EQ(versions.versionFor(record(1, 0)), 5);
  EXPECT_FALSE(versions.onRejected(record(1, 0), 5));
  EXPECT_EQ(versions.versionFor(record(1, 0)), 6);
}

TEST(PeerVersionsTest, AcceptedVersionHoldsForTheIncarnation) {
  PeerVersions versions;
  versions.onRejected(record(1, 0), 6);
  versions.onAccepted(record(1, 0), 5);
  EXPECT_EQ(versions.versionFor(record(1, 0)), 5);
  EXPECT_EQ(versions.versionFor(record(2, 0)), 6);
  EXPECT_EQ(versions.versionFor(record(2, 7)), 7);
}

// The record of the process before is read for a moment after an older build has taken its place.
TEST(PeerVersionsTest, OlderProcessBehindARecordThatStatesALaterVersionIsReached) {
  PeerVersions versions;
  EXPECT_TRUE(versions.onRejected(record(1, 7), 7));
  EXPECT_EQ(versions.versionFor(record(1, 7)), 6);
  versions.onAccepted(record(1, 7), 6);
  EXPECT_EQ(versions.versionFor(record(1, 7)), 6);
}

}  // namespace
}  // namespace shedlever::test
