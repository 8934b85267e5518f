/// @file
/// Requests count as under way until their bytes are acknowledged, or until they are answered or given up.

#include "source/router/shipment_tracker.h"

#include <gtest/gtest.h>

#include <map>

#include "source/lab/sim/simulated_cluster.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

constexpr std::size_t kUpload = 60'000;

class ShipmentTrackerTest : public ::testing::Test {
 protected:
  ShipmentTrackerTest() {
    ServerLoad load;
    load.link_kbytes_per_s = 1250;
    links_.onStatement(node_, load, clock_.now());
  }

  std::optional<std::uint64_t> acknowledged(PeerStreamId stream) const {
    const auto found = acknowledged_.find(stream);
    return found == acknowledged_.end() ? std::nullopt : std::optional(found->second);
  }

  bool runUntilUnderWay(std::size_t bytes) {
    return loop_.runUntil([&] { return links_.bytesUnderWay() == bytes; }, kTestTimeout);
  }

  const NodeName node_{"n"};
  EventLoop loop_;
  sim::VirtualTime clock_;
  LinkRoom links_;
  std::map<PeerStreamId, std::uint64_t> acknowledged_;
  ShipmentTracker tracker_{loop_, clock_, links_, [this](PeerStreamId stream) { return acknowledged(stream); }};
};

TEST_F(ShipmentTrackerTest, RequestIsUnderWayUntilItsLastByteIsAcknowledged) {
  tracker_.start(1, node_, kUpload);
  tracker_.start(2, node_, kUpload);
  tracker_.start(3, node_, kUpload);
  tracker_.onWritten(1, 7, 100);
  tracker_.onWritten(2, 7, 200);
  EXPECT_EQ(links_.bytesUnderWay(node_), 3 * kUpload);
  acknowledged_[7] = 199;
  ASSERT_TRUE(runUntilUnderWay(2 * kUpload));
  acknowledged_[7] = 200;
  ASSERT_TRUE(runUntilUnderWay(kUpload));
  EXPECT_EQ(links_.requestsUnderWay(node_), 1U) << "a request that was not written can't have arrived";
}

// The stream of a request may end before the kernel has acknowledged it.
TEST_F(ShipmentTrackerTest, AnsweredRequestIsNotUnderWay) {
  tracker_.start(1, node_, kUpload);
  tracker_.end(1);
  tracker_.end(1);
  EXPECT_EQ(links_.bytesUnderWay(node_), 0U);
}

TEST_F(ShipmentTrackerTest, SmallRequestsAndNodesWithoutALimitAreNotTracked) {
  tracker_.start(1, node_, 500);
  tracker_.start(2, NodeName("unlimited"), kUpload);
  EXPECT_EQ(links_.bytesUnderWay(), 0U);
}

}  // namespace
}  // namespace shedlever::test
