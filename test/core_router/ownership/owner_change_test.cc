/// @file
/// Reported changes of owners. Guards against a change whose proof is not reported, so that two servers that held the
/// same keys cannot be explained.

#include "source/core/router/ownership/owner_change.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "source/core/router/ownership/request_grants.h"
#include "source/lab/sim/simulated_cluster.h"

namespace shedlever::sim::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261202;
constexpr std::size_t kNodes = 4;
/// Longer than the longest grant.
constexpr Duration kGrantsEnd = seconds(5);
/// Long enough for the takeover of an unreachable owner's keys.
constexpr Duration kTakeoverTime = seconds(16);

class OwnerChangeTest : public ::testing::TestWithParam<GrantDelivery> {
 protected:
  OwnerChangeTest() : world_(kNodes, kSeed, config()) { world_.run(seconds(5)); }

  static OwnershipConfig config() {
    OwnershipConfig config;
    config.grant_delivery = GetParam();
    return config;
  }

  /// @return the changes by this proof; expects that each names owners and rising tokens.
  std::vector<OwnerChange> changesBy(OwnerChangeProof proof) const {
    std::vector<OwnerChange> changes;
    std::copy_if(world_.ownerChanges().begin(), world_.ownerChanges().end(), std::back_inserter(changes),
                 [proof](const OwnerChange& change) { return change.proof == proof; });
    for (const OwnerChange& change : changes) {
      EXPECT_FALSE(change.transfers.empty());
      for (const OwnerTransfer& transfer : change.transfers) {
        EXPECT_FALSE(transfer.to.instance.empty());
        EXPECT_NE(transfer.from, transfer.to.instance);
        EXPECT_GT(transfer.token_after, transfer.token_before);
      }
    }
    return changes;
  }

  SimulatedCluster world_;
};

TEST_P(OwnerChangeTest, FirstDivisionIsReportedForAllKeys) {
  const auto changes = changesBy(OwnerChangeProof::PlannedFirstDivision);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(world_.ownerChanges().size(), 1U);
  EXPECT_EQ(changes.front().transfers.front().keys.first, 0);
  EXPECT_EQ(changes.front().transfers.back().keys.last, 65535);
}

TEST_P(OwnerChangeTest, ReleasedKeysAreReportedAsReleased) {
  world_.drainServer(1);
  world_.run(seconds(2));
  const auto changes = changesBy(OwnerChangeProof::ReleaseAnswered);
  ASSERT_FALSE(changes.empty());
  EXPECT_FALSE(changes.front().may_hold_until.has_value());
  EXPECT_TRUE(changesBy(OwnerChangeProof::ConnectionRefused).empty());
  EXPECT_TRUE(changesBy(OwnerChangeProof::GrantsExpired).empty());
}

TEST_P(OwnerChangeTest, ReplacedInstanceIsReportedWithTheEndOfItsHold) {
  // The earlier instance runs when its successor reports.
  world_.startUnreportedServer(1);
  world_.reportServer(1);
  const TimePoint replaced = world_.now();
  world_.run(kGrantsEnd);
  const auto changes = changesBy(OwnerChangeProof::EarlierInstance);
  ASSERT_FALSE(changes.empty());
  EXPECT_EQ(changes.front().from_node, changes.front().transfers.front().to.node);
  ASSERT_TRUE(changes.front().may_hold_until.has_value());
  EXPECT_GT(*changes.front().may_hold_until, replaced);
}

TEST_P(OwnerChangeTest, RevokedLeaseIsReportedForTheNodeThatHeldIt) {
  world_.killNode(3);
  world_.run(kTakeoverTime);
  const auto changes = changesBy(OwnerChangeProof::LeaseRevoked);
  ASSERT_FALSE(changes.empty());
  for (const OwnerChange& change : changes) {
    EXPECT_EQ(change.from_node, changes.front().from_node);
    ASSERT_TRUE(change.may_hold_until.has_value());
    EXPECT_LT(*change.may_hold_until, world_.now());
  }
}

INSTANTIATE_TEST_SUITE_P(BothFormsOfGrants, OwnerChangeTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat));

using CommandOwnerChangeTest = OwnerChangeTest;

TEST_P(CommandOwnerChangeTest, RefusedConnectionIsReportedWithTheEndOfTheHold) {
  const TimePoint killed = world_.now();
  world_.killServer(1);
  world_.run(kGrantsEnd);
  const auto changes = changesBy(OwnerChangeProof::ConnectionRefused);
  ASSERT_FALSE(changes.empty());
  ASSERT_TRUE(changes.front().may_hold_until.has_value());
  EXPECT_GT(*changes.front().may_hold_until, killed);
}

INSTANTIATE_TEST_SUITE_P(GrantsByCommand, CommandOwnerChangeTest, ::testing::Values(GrantDelivery::Request));

using HeartbeatOwnerChangeTest = OwnerChangeTest;

TEST_P(HeartbeatOwnerChangeTest, KeysOfASilentServerAreReportedAsExpired) {
  world_.silenceServer(1, true);
  world_.run(seconds(10));
  EXPECT_FALSE(changesBy(OwnerChangeProof::GrantsExpired).empty());
  EXPECT_TRUE(changesBy(OwnerChangeProof::ReleaseAnswered).empty());
}

INSTANTIATE_TEST_SUITE_P(GrantsByHeartbeat, HeartbeatOwnerChangeTest, ::testing::Values(GrantDelivery::Heartbeat));

TEST(OwnerTransfersTest, OnlyWrittenChangesToOtherOwnersAreListed) {
  const OwnerLocation first{InstanceId("i-1"), NodeName("a")};
  const OwnerLocation second{InstanceId("i-2"), NodeName("b")};
  OwnerTable table = OwnerTable::divideEvenly({first, second}, 2);
  const std::vector<OwnedRange> ranges = table.ranges();
  const std::vector<TableEdit> edits = {
      TableEdit::assign(ranges[0], ranges[0].keys, second, {}),
      TableEdit::assign(ranges[1], ranges[1].keys, second, {}),
      TableEdit::assign(ranges[2], ranges[2].keys, second, {}),
  };
  ASSERT_TRUE(edits[0].apply(table));
  ASSERT_TRUE(edits[1].apply(table));
  const auto transfers =
      transfersIn(edits, {EditResult::Written, EditResult::Written, EditResult::NoLongerApplies}, table);
  ASSERT_EQ(transfers.size(), 1U);
  EXPECT_EQ(transfers.front().keys, ranges[0].keys);
  EXPECT_EQ(transfers.front().from, first.instance);
  EXPECT_EQ(transfers.front().token_before, ranges[0].token);
  EXPECT_EQ(transfers.front().to, second);
  EXPECT_EQ(transfers.front().token_after, table.find(ranges[0].keys.first)->token);
}

/// Keeps the commands and answers none.
class KeptCommands final : public ServerCommands {
 public:
  void grant(const GrantCommand& command, std::function<void(CommandStatus)> done) override {
    grants.push_back(command);
    answers.push_back(std::move(done));
  }
  void release(const ReleaseCommand&, std::function<void(ReleaseResult)>) override {}

  std::vector<GrantCommand> grants;
  std::vector<std::function<void(CommandStatus)>> answers;
};

// Guards against a grant of which no log line can say from which lease it was taken.
TEST(GrantBasisTest, CommandNamesTheTickTheLeaseAndWhetherItRenews) {
  const OwnershipConfig config;
  VirtualTime time;
  KeptCommands commands;
  GrantChannel::Events events{[](const OwnedRange&) {}, [] {}, [] {}};
  RequestGrants grants(config, commands, time, events);
  const std::vector<OwnedRange> wanted = {{{0, 9}, InstanceId("i-1"), NodeName("a"), 5, {}, false, 0}};
  const TimePoint lease_until = time.now() + seconds(10);
  grants.update(wanted, lease_until, time.now());
  ASSERT_EQ(commands.grants.size(), 1U);
  EXPECT_EQ(commands.grants[0].basis.decided_at, time.now());
  EXPECT_EQ(commands.grants[0].basis.lease_until, lease_until);
  EXPECT_FALSE(commands.grants[0].basis.renewal);
  EXPECT_FALSE(commands.grants[0].basis.limited_by_lease);
  commands.answers[0](CommandStatus::Done);
  time.runFor(config.grant_hold - milliseconds(1), [] {});
  grants.update(wanted, time.now() + milliseconds(800), time.now());
  ASSERT_EQ(commands.grants.size(), 2U);
  EXPECT_TRUE(commands.grants[1].basis.renewal);
  EXPECT_TRUE(commands.grants[1].basis.limited_by_lease);
}

}  // namespace
}  // namespace shedlever::sim::test
