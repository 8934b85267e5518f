/// @file
/// Ownership while a server refuses connections but runs on, and while several instances of a server run at one node.

#include <gtest/gtest.h>

#include "test/support/ownership_expectations.h"

namespace shedlever::sim::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261202;
constexpr std::size_t kNodes = 4;
/// The node whose server ends in the tests.
constexpr std::size_t kNode = 1;
/// Time between the start of a server and its first report.
constexpr Duration kReportDelay = seconds(1);
/// The requests for released keys run on, as they do by default with grants by heartbeat.
constexpr ServerFaults kWorkAfterRelease{false, 0, 0, 0, milliseconds(220)};
constexpr Duration kStep = milliseconds(1);
/// Long enough for a draining server to start to release its keys.
constexpr int kMaxSteps = 2000;
/// Long enough for all grants to end and for their keys to be granted to other servers.
constexpr Duration kSettleTime = seconds(12);

class ServerEndOwnershipTest : public ::testing::TestWithParam<GrantDelivery> {
 protected:
  void SetUp() override {
    world_.run(seconds(5));
    ASSERT_EQ(world_.servedKeys(), world_.sampledKeys());
  }
  void TearDown() override { expectNoViolations(world_); }

  static OwnershipConfig config() {
    OwnershipConfig config;
    config.grant_delivery = GetParam();
    return config;
  }

  void expectAllServed() { EXPECT_EQ(world_.servedKeys(), world_.sampledKeys()); }

  /// The server refuses connections and the process notices it at once.
  void refuseConnections() {
    world_.refuseConnections(kNode);
    world_.connectToServer(kNode);
  }

  /// Runs until all keys must be served again by one server each.
  void settle() {
    world_.run(kSettleTime);
    expectNoViolations(world_);
    expectAllServed();
  }

  SimulatedCluster world_{kNodes, kSeed, config()};
};

std::string nameOf(const ::testing::TestParamInfo<GrantDelivery>& info) {
  return info.param == GrantDelivery::Heartbeat ? "ByHeartbeat" : "ByRequest";
}

INSTANTIATE_TEST_SUITE_P(Grants, ServerEndOwnershipTest,
                         ::testing::Values(GrantDelivery::Request, GrantDelivery::Heartbeat), nameOf);

// A simulated server that lost its keys with its listening socket would hide a second owner.
TEST_P(ServerEndOwnershipTest, RefusingServerHoldsItsKeysUntilItsGrantsEnd) {
  const OwnershipConfig settings = config();
  const Duration hold = GetParam() == GrantDelivery::Heartbeat ? settings.heartbeat_hold : settings.grant_hold;
  world_.killNode(kNode);
  world_.refuseConnections(kNode);
  world_.run(hold / 2);
  EXPECT_EQ(world_.heldAt(kNode), world_.sampledKeys() / kNodes);
  world_.run(hold);
  EXPECT_EQ(world_.heldAt(kNode), 0U);
}

// As above, for a server whose address a successor has taken.
TEST_P(ServerEndOwnershipTest, EarlierInstanceHoldsItsKeysBesideItsSuccessor) {
  world_.killNode(kNode);
  world_.startUnreportedServer(kNode);
  world_.run(milliseconds(500));
  EXPECT_EQ(world_.heldAt(kNode), world_.sampledKeys() / kNodes);
  world_.killEarlierServers(kNode);
  EXPECT_EQ(world_.heldAt(kNode), 0U);
}

// The wait for the grants of a server that may still run must leave no keys without an owner.
TEST_P(ServerEndOwnershipTest, KeysOfAnEndedServerAreServedAgainAfterARefusedConnection) {
  world_.killServer(kNode);
  world_.connectToServer(kNode);
  settle();
  world_.startServer(kNode);
  settle();
}

// A release is complete only when the requests for its keys have ended.
TEST_P(ServerEndOwnershipTest, DrainingServersKeysMoveAfterTheWorkOnThemEnds) {
  world_.setServerFaults(kNode, kWorkAfterRelease);
  world_.drainServer(kNode);
  settle();
  EXPECT_EQ(world_.servedBy(kNode), 0U);
}

// A server that closes its listening socket first may still hold keys until its grants end.
TEST_P(ServerEndOwnershipTest, KeysOfARefusingServerMoveOnlyAfterItsGrantsEnd) {
  refuseConnections();
  settle();
}

// As above, for a server that reports that it is leaving and then closes its listening socket.
TEST_P(ServerEndOwnershipTest, KeysOfADrainingServerThatRefusesMoveOnlyAfterItsGrantsEnd) {
  world_.drainServer(kNode);
  refuseConnections();
  settle();
}

// As above, for a server whose heartbeats do not arrive either.
TEST_P(ServerEndOwnershipTest, KeysOfARefusingServerWithoutHeartbeatsMoveOnlyAfterItsGrantsEnd) {
  world_.silenceServer(kNode, true);
  refuseConnections();
  settle();
}

// A process that starts after the refusal knows nothing of the grants of the process before it.
TEST_P(ServerEndOwnershipTest, RestartedProcessWaitsForTheGrantsOfARefusingServer) {
  world_.killNode(kNode);
  world_.refuseConnections(kNode);
  world_.run(milliseconds(100));
  world_.restartNode(kNode);
  world_.connectToServer(kNode);
  settle();
}

// The first report of a successor does not show that the earlier instance has ended.
TEST_P(ServerEndOwnershipTest, SuccessorGetsKeysOnlyAfterTheGrantsOfARunningEarlierInstanceEnd) {
  world_.startUnreportedServer(kNode);
  world_.reportServer(kNode);
  settle();
}

// As above, for a successor that starts while the earlier instance refuses connections.
TEST_P(ServerEndOwnershipTest, SuccessorOfARefusingServerGetsKeysOnlyAfterItsGrantsEnd) {
  refuseConnections();
  world_.run(milliseconds(300));
  world_.startUnreportedServer(kNode);
  world_.reportServer(kNode);
  settle();
}

// A renewal meant for the earlier instance would give its keys to the successor under the same token.
TEST_P(ServerEndOwnershipTest, UnreportedSuccessorTakesNoGrantsOfARunningEarlierInstance) {
  world_.startUnreportedServer(kNode);
  world_.run(kReportDelay);
  expectNoViolations(world_);
  world_.killEarlierServers(kNode);
  world_.reportServer(kNode);
  settle();
}

// As above, for an earlier instance that ended before any command was refused.
TEST_P(ServerEndOwnershipTest, ServerRestartedWithinTheRenewalIntervalGetsKeysUnderHigherTokens) {
  world_.killServer(kNode);
  world_.startUnreportedServer(kNode);
  world_.run(kReportDelay);
  world_.reportServer(kNode);
  settle();
}

// A release that the successor answers does not show that the earlier instance has released the keys.
TEST_P(ServerEndOwnershipTest, ReleaseAnsweredByAnUnreportedSuccessorMovesNoKeysOfARunningEarlierInstance) {
  world_.startUnreportedServer(kNode);
  world_.drainServer(kNode);
  settle();
}

// A server that refuses connections may still process requests for the keys that it releases.
TEST_P(ServerEndOwnershipTest, KeysOfAServerThatRefusesDuringTheirReleaseMoveAfterTheWorkOnThemEnds) {
  world_.setServerFaults(kNode, kWorkAfterRelease);
  world_.drainServer(kNode);
  for (int step = 0; step < kMaxSteps && world_.servedBy(kNode) != 0; ++step) {
    world_.run(kStep);
  }
  ASSERT_EQ(world_.servedBy(kNode), 0U) << "the server has started to release its keys";
  ASSERT_GT(world_.heldAt(kNode), 0U) << "requests for them still run";
  refuseConnections();
  settle();
}

}  // namespace
}  // namespace shedlever::sim::test
