/// @file
/// The mark of a revoked lease stays in the store until the node's ranges are confirmed in the table.

#include <gtest/gtest.h>

#include "source/core/router/ownership/ownership_manager.h"
#include "source/lab/sim/virtual_store.h"
#include "test/support/manual_clock.h"
#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

const NodeName kNode("self");

class RevokedLeaseTest : public ::testing::Test {
 protected:
  /// Answers the latest replacement of the lease object.
  void answerRenewal(StoreStatus status, StoreRevision revision, const LeaseRecord& record) {
    ASSERT_FALSE(store_.replaces.empty());
    const auto call = store_.replaces.back();
    store_.replaces.pop_back();
    call.done({status, {kNode.value, revision, record.encode()}});
  }

  /// Lets the lease manager send its next renewal. @return its value.
  LeaseRecord nextRenewal(Duration wait) {
    clock_.advance(wait);
    lease_.tick(clock_.now());
    return store_.replaces.empty() ? LeaseRecord{} : LeaseRecord::decode(store_.replaces.back().object.value);
  }

  /// This process has renewed its lease at revision 4, and others revoke it after it has expired.
  void revoke() {
    lease_.tick(clock_.now());
    store_.creates.back().done({StoreStatus::Done, {kNode.value, 4, "{}"}});
    nextRenewal(config_.lease + config_.lease_margin);
    answerRenewal(StoreStatus::Conflict, 5, {Incarnation{3}, 1, true});
  }

  OwnershipConfig config_;
  ScriptedStore store_;
  ManualClock clock_;
  int revocations_ = 0;
  LeaseManager lease_{{kNode, Incarnation{3}}, config_, store_, clock_, [this] { ++revocations_; }};
};

// The renewal after a revocation removed the mark before the ranges were confirmed.
TEST_F(RevokedLeaseTest, RenewalsCarryTheMarkUntilTheRangesAreConfirmed) {
  revoke();
  for (std::uint64_t revision = 6; revision < 9; ++revision) {
    ASSERT_TRUE(nextRenewal(config_.lease_renewal).revoked) << revision;
    answerRenewal(StoreStatus::Done, revision, {Incarnation{3}, revision, true});
  }
  lease_.onConfirmed();
  EXPECT_FALSE(nextRenewal(Duration::zero()).revoked);
  ASSERT_EQ(store_.replaces.size(), 1U) << "the mark is removed at once";
  answerRenewal(StoreStatus::Done, 9, {Incarnation{3}, 9, false});
  EXPECT_FALSE(nextRenewal(config_.lease_renewal).revoked);
  EXPECT_EQ(revocations_, 1);
}

// A process that was started after a revocation inherited the lease of a predecessor that had not confirmed its ranges.
TEST_F(RevokedLeaseTest, LeaseIsNotReportedWhileItIsMarked) {
  revoke();
  EXPECT_EQ(lease_.reportedUntil(), TimePoint{});
  nextRenewal(Duration::zero());
  answerRenewal(StoreStatus::Done, 6, {Incarnation{3}, 3, true});
  EXPECT_TRUE(lease_.valid(clock_.now())) << "the ranges can be confirmed under it";
  EXPECT_EQ(lease_.reportedUntil(), TimePoint{});
  lease_.onConfirmed();
  EXPECT_EQ(lease_.reportedUntil(), TimePoint{}) << "the store still holds the mark";
  nextRenewal(Duration::zero());
  answerRenewal(StoreStatus::Done, 7, {Incarnation{3}, 4, false});
  EXPECT_EQ(lease_.reportedUntil(), clock_.now() + config_.lease);
}

// The ranges were confirmed while a marked renewal was under way; its answer must not keep the mark for long.
TEST_F(RevokedLeaseTest, MarkedRenewalAnsweredAfterTheConfirmationIsFollowedAtOnce) {
  revoke();
  ASSERT_TRUE(nextRenewal(Duration::zero()).revoked);
  lease_.onConfirmed();
  answerRenewal(StoreStatus::Done, 6, {Incarnation{3}, 3, true});
  EXPECT_EQ(lease_.reportedUntil(), TimePoint{});
  nextRenewal(Duration::zero());
  ASSERT_EQ(store_.replaces.size(), 1U);
  EXPECT_FALSE(LeaseRecord::decode(store_.replaces.back().object.value).revoked);
}

// A marked renewal whose answer was lost looks like another revocation; confirming once more is safe and must end.
TEST_F(RevokedLeaseTest, MarkedRenewalWithALostAnswerCausesOneMoreConfirmation) {
  revoke();
  const LeaseRecord marked = nextRenewal(Duration::zero());
  answerRenewal(StoreStatus::Unknown, {}, {});
  lease_.onConfirmed();
  nextRenewal(config_.lease_retry);
  answerRenewal(StoreStatus::Conflict, 6, marked);
  EXPECT_EQ(revocations_, 2);
  ASSERT_TRUE(nextRenewal(Duration::zero()).revoked);
  answerRenewal(StoreStatus::Done, 7, {Incarnation{3}, 4, true});
  lease_.onConfirmed();
  ASSERT_FALSE(nextRenewal(Duration::zero()).revoked);
  answerRenewal(StoreStatus::Done, 8, {Incarnation{3}, 5, false});
  EXPECT_EQ(revocations_, 2);
  EXPECT_EQ(lease_.reportedUntil(), clock_.now() + config_.lease);
}

/// Records grants; answers none.
class RecordedCommands final : public ServerCommands {
 public:
  void grant(const GrantCommand& command, std::function<void(CommandStatus)>) override { grants.push_back(command); }
  void release(const ReleaseCommand&, std::function<void(ReleaseResult)>) override {}

  std::vector<GrantCommand> grants;
};

/// A node with one server that owns all keys under the tokens of the table.
class RevokedOwnerTest : public ::testing::Test {
 protected:
  void SetUp() override {
    const OwnerTable table = OwnerTable::divideEvenly({{server_, kNode}}, 1, 0);
    table_ = {ownerTableName(service_), 50, table.encode()};
  }

  /// Starts a process, which replaces the one before.
  void start() {
    store_.creates.clear();
    store_.replaces.clear();
    commands_.grants.clear();
    OwnershipPorts ports;
    ports.store = &store_;
    ports.server_commands = &commands_;
    ports.clock = &clock_;
    ports.directory = &directory_;
    ports.on_change = [] {};
    ports.on_server_gone = [] {};
    manager_ = std::make_unique<OwnershipManager>(NodeIdentity{kNode, Incarnation{++incarnation_}}, service_, config_,
                                                  std::move(ports));
    manager_->serverUp(server_, InstanceEnd::Suspected, clock_.now());
  }

  void tick() {
    clock_.advance(milliseconds(50));
    manager_->tick(clock_.now());
  }

  /// Answers the waiting renewal as the store would, given the lease object and whether the write's condition holds.
  void answerRenewal(bool condition_holds) {
    auto& calls = store_.creates.empty() ? store_.replaces : store_.creates;
    const auto found =
        std::find_if(calls.begin(), calls.end(), [](const auto& call) { return call.kind == kLeaseKind; });
    ASSERT_NE(found, calls.end());
    const auto call = *found;
    calls.erase(found);
    if (condition_holds) {
      lease_object_ = {kNode.value, ++revision_, call.object.value};
    }
    call.done({condition_holds ? StoreStatus::Done : StoreStatus::Conflict, lease_object_});
  }

  /// Reads the lease object of the earlier process at start and renews it.
  void startAndRenew() {
    start();
    tick();
    answerRenewal(false);
    tick();
    answerRenewal(true);
  }

  /// Answers the waiting write of the table.
  void answerTableWrite() {
    const auto found = std::find_if(store_.replaces.begin(), store_.replaces.end(),
                                    [](const auto& call) { return call.kind == kTableKind; });
    ASSERT_NE(found, store_.replaces.end());
    const auto call = *found;
    store_.replaces.erase(found);
    call.done({StoreStatus::Done, {call.object.name, 60, call.object.value}});
  }

  bool tableWriteWaits() const {
    return std::any_of(store_.replaces.begin(), store_.replaces.end(),
                       [](const auto& call) { return call.kind == kTableKind; });
  }

  const ServiceName service_{"search"};
  const InstanceId server_{"i-1"};
  OwnershipConfig config_;
  ScriptedStore store_;
  RecordedCommands commands_;
  ManualClock clock_;
  sim::SeededRandom random_{1};
  ServerDirectory directory_{kNode, ZoneName("zone"), ServerChoiceConfig{}, random_};
  MetadataObject table_;
  MetadataObject lease_object_{kNode.value, 10, LeaseRecord{Incarnation{0}, 1, true}.encode()};
  std::uint64_t revision_ = 10;
  std::uint64_t incarnation_ = 0;
  std::unique_ptr<OwnershipManager> manager_;
};

// A process that ended between the renewal after a revocation and the confirmation of its ranges left a lease without
// the mark, under which its successor granted ranges that the revoking node was writing to others.
TEST_F(RevokedOwnerTest, SuccessorOfAnUnconfirmedProcessGrantsNothingBeforeItsRangesAreConfirmed) {
  startAndRenew();
  manager_->onTableObject(table_);
  tick();
  ASSERT_TRUE(tableWriteWaits());
  startAndRenew();
  manager_->onTableObject(table_);
  tick();
  EXPECT_TRUE(commands_.grants.empty());
  EXPECT_EQ(manager_->reportedLeaseUntil(), TimePoint{});
  EXPECT_TRUE(tableWriteWaits()) << "the successor confirms the ranges";
}

// A confirmation that had been sent before another revocation ended the wait for the confirmation after it, so that
// ranges were granted under tokens that the revoking node may take over.
TEST_F(RevokedOwnerTest, ConfirmationSentBeforeAnotherRevocationDoesNotCount) {
  startAndRenew();
  manager_->onTableObject(table_);
  tick();
  ASSERT_TRUE(tableWriteWaits());
  clock_.advance(config_.lease + config_.lease_margin);
  tick();
  lease_object_ = {kNode.value, ++revision_, LeaseRecord{Incarnation{1}, 2, true}.encode()};
  answerRenewal(false);
  answerTableWrite();
  tick();
  answerRenewal(true);
  tick();
  EXPECT_TRUE(commands_.grants.empty());
  EXPECT_TRUE(tableWriteWaits()) << "the ranges are confirmed again";
}

// A process that knew an old table without ranges of its server took them for confirmed without reading the store, and
// granted them under their old tokens as soon as it learned of them.
TEST_F(RevokedOwnerTest, RangesThatAreNotKnownYetAreNotTakenForConfirmed) {
  const OwnerTable others = OwnerTable::divideEvenly({{InstanceId("i-2"), NodeName("other")}}, 1, 0);
  startAndRenew();
  manager_->onTableObject({table_.name, 49, others.encode()});
  tick();
  manager_->onTableObject(table_);
  tick();
  EXPECT_TRUE(commands_.grants.empty());
  ASSERT_EQ(store_.gets.size(), 1U) << "the table is read";
  store_.gets.back().done({StoreStatus::Done, table_});
  tick();
  EXPECT_TRUE(commands_.grants.empty());
  EXPECT_TRUE(tableWriteWaits()) << "the ranges are confirmed";
}

// A revocation that was learned of while no server was known was forgotten when the same server was seen again.
TEST_F(RevokedOwnerTest, RevocationIsNotForgottenWhileNoServerIsKnown) {
  start();
  tick();
  manager_->onTableObject(table_);
  manager_->serverGone();
  answerRenewal(false);
  tick();
  manager_->serverUp(server_, InstanceEnd::Suspected, clock_.now());
  tick();
  answerRenewal(true);
  tick();
  EXPECT_TRUE(commands_.grants.empty());
  EXPECT_TRUE(tableWriteWaits()) << "the ranges are confirmed";
}

}  // namespace
}  // namespace shedlever::test
