/// @file
/// Expected time until a request has arrived at a node. Guards against a node that looks free while its link is full.

#include "source/core/router/link/link_room.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
/// 10 Mbit/s.
constexpr std::uint32_t kNarrow = 1250;
/// The narrow link carries it in 48 ms.
constexpr std::size_t kUpload = 60'000;
constexpr std::size_t kCall = 500;

ServerLoad statement(std::uint32_t kbytes_per_s, std::uint32_t delay_ms = 0) {
  ServerLoad load;
  load.link_kbytes_per_s = kbytes_per_s;
  load.arrival_delay_ms = delay_ms;
  return load;
}

class LinkRoomTest : public ::testing::Test {
 protected:
  Duration arrivalTime(std::size_t bytes, Duration later = {}) const {
    return room_.arrivalTime(node_, bytes, kNow + later);
  }

  const NodeName node_{"n"};
  LinkRoom room_;
};

TEST_F(LinkRoomTest, NodeWithoutStatedBandwidthIsNoLimit) {
  room_.onSent(node_, kUpload, kNow);
  EXPECT_EQ(arrivalTime(kUpload), Duration::zero());
  room_.onStatement(node_, statement(0, 500), kNow);
  EXPECT_EQ(arrivalTime(kUpload), Duration::zero());
  EXPECT_FALSE(room_.isLimited(node_));
}

TEST_F(LinkRoomTest, RequestsUnderWayDelayTheNextOneUntilTheyHaveEnded) {
  room_.onStatement(node_, statement(kNarrow), kNow);
  EXPECT_EQ(arrivalTime(kUpload), milliseconds(48));
  const ShipmentId first = room_.onSent(node_, kUpload, kNow);
  const ShipmentId second = room_.onSent(node_, kUpload, kNow);
  EXPECT_EQ(arrivalTime(kUpload), milliseconds(144));
  EXPECT_EQ(room_.bytesUnderWay(node_), 2 * kUpload);
  EXPECT_EQ(room_.requestsUnderWay(node_), 2U);
  room_.onEnded(node_, first);
  room_.onEnded(node_, first);
  EXPECT_EQ(arrivalTime(kUpload), milliseconds(96));
  room_.onEnded(node_, second);
  EXPECT_EQ(arrivalTime(kUpload), milliseconds(48));
  EXPECT_EQ(room_.bytesUnderWay(), 0U);
}

// Others send to the node as well: only the node itself can tell how late frames arrive.
TEST_F(LinkRoomTest, StatedDelayCountsBesidesWhatWasSentSinceAndDecays) {
  room_.onSent(node_, kUpload, kNow);
  room_.onStatement(node_, statement(kNarrow, 300), kNow);
  EXPECT_EQ(arrivalTime(kUpload), milliseconds(348));
  room_.onSent(node_, kUpload, kNow);
  EXPECT_EQ(arrivalTime(kUpload), milliseconds(396));
  EXPECT_EQ(arrivalTime(kCall), milliseconds(300) + Duration(400));
  EXPECT_EQ(arrivalTime(kCall, seconds(2)), milliseconds(150) + Duration(400));
  EXPECT_LT(arrivalTime(kCall, seconds(30)), milliseconds(1));
}

// The bandwidth belongs to the machine; if it expired as delays do, the narrowest links would look best.
TEST_F(LinkRoomTest, StatedBandwidthHoldsUntilTheProcessEnds) {
  room_.onStatement(node_, statement(kNarrow), kNow);
  EXPECT_EQ(arrivalTime(kUpload, seconds(60)), milliseconds(48));
  room_.forgetStatement(node_);
  EXPECT_EQ(arrivalTime(kUpload), Duration::zero());
}

// Guards against a link that has shrunk to a tenth and still gets as many requests as before.
TEST_F(LinkRoomTest, LateRequestsShowALinkThatCarriesLessThanStated) {
  room_.onStatement(node_, statement(kNarrow), kNow);
  const ShipmentId late = room_.onSent(node_, kUpload, kNow);
  EXPECT_EQ(arrivalTime(kUpload, milliseconds(400)), milliseconds(400));
  room_.onEnded(node_, late);
  EXPECT_EQ(arrivalTime(kUpload, milliseconds(480)), milliseconds(48));
}

// Each of many gateways sends few large requests, so a measured slowdown has to last until the next one.
TEST_F(LinkRoomTest, BandwidthThatARequestHasMetIsRememberedForSeconds) {
  room_.onStatement(node_, statement(kNarrow), kNow);
  const ShipmentId shipment = room_.onSent(node_, kUpload, kNow);
  room_.onArrived(node_, shipment, kNow + milliseconds(500));
  room_.onArrived(node_, shipment, kNow + seconds(9));
  EXPECT_EQ(room_.bytesUnderWay(), 0U);
  EXPECT_EQ(arrivalTime(kUpload, milliseconds(500)), milliseconds(480));
  EXPECT_NEAR(room_.usableBytesPerSecond(node_, kNow + milliseconds(500)), 125'000, 1);
  EXPECT_GT(arrivalTime(kUpload, seconds(30)), milliseconds(240));
  EXPECT_LT(arrivalTime(kUpload, seconds(600)), milliseconds(50));
}

TEST_F(LinkRoomTest, SlowerOfOwnAndOtherLinkDecides) {
  room_.setOwnLink([](double bytes) { return Duration(static_cast<Duration::rep>(bytes)); });
  EXPECT_EQ(arrivalTime(kUpload), milliseconds(60));
  EXPECT_EQ(arrivalTime(kCall), Duration::zero()) << "calls pass between the parts of large requests";
  room_.onStatement(node_, statement(kNarrow), kNow);
  EXPECT_EQ(arrivalTime(kUpload), milliseconds(60));
  room_.onStatement(node_, statement(kNarrow / 10), kNow);
  EXPECT_EQ(arrivalTime(kUpload), milliseconds(480));
}

}  // namespace
}  // namespace shedlever::test
