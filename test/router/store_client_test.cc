/// @file
/// Calls to a store that refuses this node go through a peer, as long as peers are served.

#include "source/router/store_client.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "source/lab/sim/ownership_world.h"
#include "source/net/system_sources.h"
#include "test/support/fake_peer.h"

namespace shedlever::test {
namespace {

constexpr int kUnavailable = 503;
constexpr int kTooMany = 429;

class StoreClientTest : public ::testing::Test {
 protected:
  StoreClientTest() {
    NodeRecord record;
    record.node = NodeName("other");
    record.peer = peer_.endpoint();
    directory_.update(record);
    peer_client_.ensureConnected(record.node);
    EXPECT_TRUE(loop_.runUntil([this] { return !peer_client_.connectedNodes().empty(); }, kTestCap));
  }

  int call(StoreConnection connection = StoreConnection::Reused) {
    std::optional<std::optional<HttpResponse>> answer;
    client_.call({{"GET", "/objects/k", {}, {}}, std::chrono::seconds(4), connection},
                 [&answer](std::optional<HttpResponse> told) { answer = std::move(told); });
    EXPECT_TRUE(loop_.runUntil([&answer] { return answer.has_value(); }, kTestCap));
    return answer && *answer ? (*answer)->status : 0;
  }

  EventLoop loop_;
  BootTimeClock clock_;
  sim::SeededRandom random_{1};
  FakePeer peer_{loop_, {NodeName("other"), Incarnation{1}}};
  int store_status_ = kUnavailable;
  std::size_t store_calls_ = 0;
  ScriptedServer store_{loop_, [this](ScriptedConnection& connection) {
                          if (holdsWholeRequest(connection.received)) {
                            connection.received.clear();
                            ++store_calls_;
                            connection.write(httpAnswer(store_status_, "", "{}"));
                          }
                        }};
  ServerDirectory directory_{NodeName("self"), ZoneName("z"), {}, random_};
  PeerClient peer_client_{
      loop_,
      clock_,
      {NodeName("self"), Incarnation{1}},
      directory_,
      {[](const NodeName&, bool) {}, [](const NodeName&) {}, [](const NodeName&, const PeerLease&) {},
       [](const OwnerTableFrame&) {}, [] { return ServerCrashesFrame{}; }, [](const ServerCrashesFrame&) {}}};
  EventLog log_{loop_, clock_, dup(STDERR_FILENO)};
  RouterMetrics metrics_;
  StoreClient client_{loop_, clock_, store_.endpoint(), peer_client_, log_, metrics_};
};

// Seen: the store refused some nodes for 9 s and served the others; their leases and tables stood still.
TEST_F(StoreClientTest, RefusedCallGoesThroughAPeer) {
  EXPECT_EQ(call(), 200);
  EXPECT_EQ(peer_.store_calls, 1U);
  // Calls go to the peer at once for a while: refused ones cost as much as others.
  EXPECT_EQ(call(), 200);
  EXPECT_EQ(store_calls_, 1U);
}

TEST_F(StoreClientTest, NoPeerIsTriedAgainWhileTheStoreRefusesThemToo) {
  peer_.store_status = kUnavailable;
  EXPECT_EQ(call(), kUnavailable);
  EXPECT_EQ(call(), kUnavailable);
  EXPECT_EQ(peer_.store_calls, 1U);
  EXPECT_EQ(store_calls_, 2U);
}

// A kept connection may have gone silent without a sign: a check that went over it would learn nothing.
TEST_F(StoreClientTest, ChecksGoOverNewConnections) {
  store_status_ = 200;
  EXPECT_EQ(call(), 200);
  EXPECT_EQ(call(), 200);
  const std::size_t kept = store_.accepted();
  EXPECT_EQ(kept, 1U);
  EXPECT_EQ(call(StoreConnection::New), 200);
  EXPECT_EQ(call(StoreConnection::New), 200);
  EXPECT_EQ(store_.accepted(), kept + 2);
}

TEST_F(StoreClientTest, RefusedCheckIsNotPassedToAPeer) {
  EXPECT_EQ(call(StoreConnection::New), kUnavailable);
  EXPECT_EQ(peer_.store_calls, 0U);
}

// The limit on calls holds for all nodes together: a peer's call would count as well.
TEST_F(StoreClientTest, CallBeyondTheStoresRateIsNotPassedToAPeer) {
  store_status_ = kTooMany;
  EXPECT_EQ(call(), kTooMany);
  EXPECT_EQ(peer_.store_calls, 0U);
}

}  // namespace
}  // namespace shedlever::test
