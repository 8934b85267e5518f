/// @file
/// Ownership when a process ends after its lease was revoked and before it has confirmed its ranges in the owner table.

#include <gtest/gtest.h>

#include "test/support/ownership_expectations.h"

namespace shedlever::sim::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261202;
constexpr std::size_t kNodes = 4;
/// The node whose lease is revoked.
constexpr std::size_t kNode = 1;
/// Delay of the table write by the process that revoked the lease.
constexpr Duration kTakeoverWriteDelay = seconds(3);
/// Delay of the table write by the process whose lease was revoked; it comes after the takeover.
constexpr Duration kConfirmationDelay = seconds(6);
/// Time in which the other processes learn of the renewed lease.
constexpr Duration kReportDelay = milliseconds(100);
constexpr Duration kStep = milliseconds(1);
constexpr int kMaxSteps = 20000;

class LeaseRevocationOwnershipTest : public ::testing::TestWithParam<GrantDelivery> {
 protected:
  void SetUp() override {
    world_.run(seconds(5));
    ASSERT_EQ(world_.servedKeys(), world_.sampledKeys());
    before_ = world_.table();
    for (std::size_t node = 0; node < kNodes; ++node) {
      StoreFaults faults;
      faults.slow_kind = kTableKind;
      faults.slow_write_delay = node == kNode ? kConfirmationDelay : kTakeoverWriteDelay;
      world_.setStoreFaults(node, faults);
    }
    world_.pauseNode(kNode);
    runUntilLeaseIsRevoked();
    world_.resumeNode(kNode);
    ASSERT_EQ(world_.table().revision, before_.revision) << "the takeover is still being written";
  }
  void TearDown() override { expectNoViolations(world_); }

  static OwnershipConfig config() {
    OwnershipConfig config;
    config.grant_delivery = GetParam();
    return config;
  }

  void runUntilLeaseIsRevoked() {
    for (int step = 0; step < kMaxSteps && !world_.lease(kNode).revoked; ++step) {
      world_.run(kStep);
    }
    ASSERT_TRUE(world_.lease(kNode).revoked);
  }

  void runUntilLeaseIsRenewed() {
    const std::uint64_t count = world_.lease(kNode).renewal_count;
    for (int step = 0; step < kMaxSteps && world_.lease(kNode).renewal_count == count; ++step) {
      world_.run(kStep);
    }
    ASSERT_GT(world_.lease(kNode).renewal_count, count);
  }

  /// Ends the process after the renewal that follows the revocation, before its ranges are confirmed.
  void endProcessBeforeConfirmation() {
    runUntilLeaseIsRenewed();
    world_.run(kReportDelay);
    world_.killNode(kNode);
    ASSERT_EQ(world_.table().revision, before_.revision) << "no range is confirmed";
  }

  /// Runs until all keys must be served by one server each.
  void settle() {
    world_.run(kTakeoverWriteDelay + kConfirmationDelay);
    for (std::size_t node = 0; node < kNodes; ++node) {
      world_.setStoreFaults(node, {});
    }
    world_.run(seconds(16));
    expectNoViolations(world_);
    EXPECT_EQ(world_.servedKeys(), world_.sampledKeys());
  }

  SimulatedCluster world_{kNodes, kSeed, config()};
  /// Owner table before the revocation.
  MetadataObject before_;
};

std::string nameOf(const ::testing::TestParamInfo<GrantDelivery>& info) {
  return info.param == GrantDelivery::Heartbeat ? "ByHeartbeat" : "ByRequest";
}

INSTANTIATE_TEST_SUITE_P(Grants, LeaseRevocationOwnershipTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat), nameOf);

// A process that renews its revoked lease must not grant its old ranges while another process takes them over.
TEST_P(LeaseRevocationOwnershipTest, RunningProcessGrantsNothingBeforeItsRangesAreConfirmed) { settle(); }

// The renewal after a revocation must not hide the revocation from a process that starts before the confirmation.
TEST_P(LeaseRevocationOwnershipTest, RestartedProcessGrantsNothingBeforeItsRangesAreConfirmed) {
  endProcessBeforeConfirmation();
  world_.restartNode(kNode);
  settle();
}

// As above, for a process that takes over the rest of the lease from its peers.
TEST_P(LeaseRevocationOwnershipTest, ProcessWithAnInheritedLeaseGrantsNothingBeforeItsRangesAreConfirmed) {
  endProcessBeforeConfirmation();
  world_.restartNodeWithLease(kNode);
  settle();
}

// As above, for a process that gets the lease and the table from its peers while it cannot read the store.
TEST_P(LeaseRevocationOwnershipTest, ProcessWithAPeersTableGrantsNothingBeforeItsRangesAreConfirmed) {
  endProcessBeforeConfirmation();
  world_.setStoreFaults(kNode, {true, 0, 0});
  world_.restartNodeWithPeerTable(kNode, before_);
  settle();
}

}  // namespace
}  // namespace shedlever::sim::test
