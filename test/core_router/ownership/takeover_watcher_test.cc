/// @file
/// Expiry of the lease of an unreachable owner.

#include "source/core/router/ownership/takeover_watcher.h"

#include <gtest/gtest.h>

#include "test/support/manual_clock.h"
#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TakeoverWatcherTest : public ::testing::Test {
 protected:
  /// The node has been unreachable long enough; its lease object is read at that revision.
  void readLeaseAt(StoreRevision revision) {
    tick();
    clock_.advance(config_.suspicion);
    tick();
    ASSERT_EQ(store_.gets.size(), 1U);
    const LeaseRecord record{Incarnation{1}, 1, false};
    store_.gets.back().done({StoreStatus::Done, {node_.value, revision, record.encode()}});
  }

  void tick() { watcher_.tick({node_}, Duration::zero(), clock_.now()); }

  bool revokesAfter(Duration span) {
    clock_.advance(span);
    tick();
    return !store_.replaces.empty();
  }

  const NodeName node_{"silent"};
  OwnershipConfig config_;
  ScriptedStore store_;
  ManualClock clock_;
  FenceToken newest_token_ = 1;
  std::vector<FenceToken> revoked_up_to_;
  TakeoverWatcher watcher_{config_, store_, clock_, [this] { return newest_token_; },
                           [this](const NodeName&, FenceToken token) { revoked_up_to_.push_back(token); }};
};

TEST_F(TakeoverWatcherTest, UnreportedLeaseExpiresOneLeaseAfterItWasRead) {
  readLeaseAt(7);
  EXPECT_FALSE(revokesAfter(config_.lease + config_.lease_margin - milliseconds(1)));
  EXPECT_TRUE(revokesAfter(milliseconds(1)));
}

// A node that confirms its ranges between the revocation and its answer holds them under a new lease; taking them over
// would give its keys a second owner.
TEST_F(TakeoverWatcherTest, RevocationCoversTheTokensThatWereKnownWhenItWasSent) {
  newest_token_ = 20;
  readLeaseAt(7);
  ASSERT_TRUE(revokesAfter(config_.lease + config_.lease_margin));
  newest_token_ = 25;
  store_.replaces.back().done({StoreStatus::Done, store_.replaces.back().object});
  EXPECT_EQ(revoked_up_to_, std::vector<FenceToken>{20});
}

// A reported lease must shorten the takeover of an owner that failed while the store was down.
TEST_F(TakeoverWatcherTest, ReportedLeaseExpiresAsReportedIfUnchanged) {
  const TimePoint expiry = clock_.now() + seconds(3);
  watcher_.onPeerLease(node_, {7, expiry, expiry});
  readLeaseAt(7);
  EXPECT_FALSE(revokesAfter(expiry + config_.lease_margin - milliseconds(1) - clock_.now()));
  EXPECT_TRUE(revokesAfter(milliseconds(1)));
  EXPECT_EQ(store_.replaces.back().object.revision, 7U);
}

TEST_F(TakeoverWatcherTest, UnreportedRenewalExtendsTheLeaseInFull) {
  const TimePoint expiry = clock_.now() + seconds(3);
  watcher_.onPeerLease(node_, {7, expiry, expiry});
  readLeaseAt(8);
  EXPECT_FALSE(revokesAfter(config_.lease + config_.lease_margin - milliseconds(1)));
  EXPECT_TRUE(revokesAfter(milliseconds(1)));
}

TEST_F(TakeoverWatcherTest, LateReportOfAnEarlierRenewalIsIgnored) {
  const TimePoint expiry = clock_.now() + seconds(6);
  watcher_.onPeerLease(node_, {8, expiry, expiry});
  watcher_.onPeerLease(node_, {7, expiry - seconds(4), expiry - seconds(4)});
  readLeaseAt(8);
  EXPECT_FALSE(revokesAfter(expiry + config_.lease_margin - milliseconds(1) - clock_.now()));
  EXPECT_TRUE(revokesAfter(milliseconds(1)));
}

// The holder's lease may still be valid, and the holder will overwrite the invalid object.
TEST_F(TakeoverWatcherTest, InvalidLeaseObjectIsNotRevoked) {
  for (const char* text : {"7", "[]", "null", R"({"incarnation":"x","count":-1,"revoked":"yes"})", "{"}) {
    const LeaseRecord record = LeaseRecord::decode(text);
    EXPECT_FALSE(record.revoked) << text;
    EXPECT_EQ(record.renewal_count, 0U) << text;
  }
}

class LeaseManagerTest : public ::testing::Test {
 protected:
  OwnershipConfig config_;
  ScriptedStore store_;
  ManualClock clock_;
  LeaseManager lease_{{NodeName("self"), Incarnation{3}}, config_, store_, clock_, [] {}};
};

TEST_F(LeaseManagerTest, OnlyARenewalByThisProcessIsReported) {
  lease_.inherit(clock_.now() + seconds(5));
  lease_.tick(clock_.now());
  ASSERT_EQ(store_.creates.size(), 1U);
  const LeaseRecord earlier{Incarnation{2}, 9, false};
  store_.creates.back().done({StoreStatus::Conflict, {"self", 11, earlier.encode()}});
  EXPECT_EQ(lease_.renewedRevision(), 0U);
  lease_.tick(clock_.now());
  ASSERT_EQ(store_.replaces.size(), 1U);
  store_.replaces.back().done({StoreStatus::Done, {"self", 12, "{}"}});
  EXPECT_EQ(lease_.renewedRevision(), 12U);
}

// Others may know when the lease expires, so it must not be extended without a change of the object.
TEST_F(LeaseManagerTest, RenewedLeaseIsNotExtendedByPeers) {
  lease_.tick(clock_.now());
  const TimePoint sent = clock_.now();
  store_.creates.back().done({StoreStatus::Done, {"self", 4, "{}"}});
  lease_.inherit(sent + config_.lease + seconds(5));
  EXPECT_EQ(lease_.validUntil(), sent + config_.lease);
}

}  // namespace
}  // namespace shedlever::test
