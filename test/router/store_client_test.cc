/// @file
/// Tests which store calls are retried through a peer.

#include "source/router/store_client.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "source/lab/sim/simulated_cluster.h"
#include "source/net/system_clock_and_random.h"
#include "test/support/fake_peer.h"

namespace shedlever::test {
namespace {

constexpr int kUnavailable = 503;
constexpr int kTooManyRequests = 429;

class StoreClientTest : public ::testing::Test {
 protected:
  StoreClientTest() {
    NodeRecord record;
    record.node = NodeName("other");
    record.peer = peer_.endpoint();
    directory_.update(record);
    peer_client_.ensureConnected(record.node);
    EXPECT_TRUE(loop_.runUntil([this] { return !peer_client_.connectedNodes().empty(); }, kTestTimeout));
  }

  int call(StoreConnection connection = StoreConnection::Reused) {
    std::optional<std::optional<HttpResponse>> answer;
    client_.call({{"GET", "/objects/k", {}, {}}, std::chrono::seconds(4), connection},
                 [&answer](std::optional<HttpResponse> received) { answer = std::move(received); });
    EXPECT_TRUE(loop_.runUntil([&answer] { return answer.has_value(); }, kTestTimeout));
    return answer && *answer ? (*answer)->status : 0;
  }

  EventLoop loop_;
  BootTimeClock clock_;
  sim::SeededRandom random_{1};
  FakePeer peer_{loop_, {NodeName("other"), Incarnation{1}}};
  int store_status_ = kUnavailable;
  std::string store_headers_;
  std::size_t store_calls_ = 0;
  ScriptedServer store_{loop_, [this](ScriptedConnection& connection) {
                          if (isCompleteRequest(connection.received)) {
                            connection.received.clear();
                            ++store_calls_;
                            connection.write(httpResponseText(store_status_, store_headers_, "{}"));
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

// The store may refuse some nodes and serve others; refused nodes must still be able to renew leases and update tables.
TEST_F(StoreClientTest, RefusedCallGoesThroughPeer) {
  EXPECT_EQ(call(), 200);
  EXPECT_EQ(peer_.store_calls, 1U);
  // Later calls go to the peer without a direct attempt, since a refused call costs as much as a served one.
  EXPECT_EQ(call(), 200);
  EXPECT_EQ(store_calls_, 1U);
}

TEST_F(StoreClientTest, RefusedCallIsNotRetriedThroughPeerWhileStoreRefusesPeers) {
  peer_.store_status = kUnavailable;
  EXPECT_EQ(call(), kUnavailable);
  EXPECT_EQ(call(), kUnavailable);
  EXPECT_EQ(peer_.store_calls, 1U);
  EXPECT_EQ(store_calls_, 2U);
}

// A kept connection may be lost silently, so a check over it would get no response.
TEST_F(StoreClientTest, ChecksUseNewConnections) {
  store_status_ = 200;
  EXPECT_EQ(call(), 200);
  EXPECT_EQ(call(), 200);
  const std::size_t kept = store_.accepted();
  EXPECT_EQ(kept, 1U);
  EXPECT_EQ(call(StoreConnection::New), 200);
  EXPECT_EQ(call(StoreConnection::New), 200);
  EXPECT_EQ(store_.accepted(), kept + 2);
}

TEST_F(StoreClientTest, RefusedCheckIsNotRetriedThroughPeer) {
  EXPECT_EQ(call(StoreConnection::New), kUnavailable);
  EXPECT_EQ(peer_.store_calls, 0U);
}

// Guards against leases and owners that are decided by a response which may belong to another call.
TEST_F(StoreClientTest, BrokenResponseOfTheStoreCountsAsNone) {
  store_status_ = 200;
  store_headers_ =
      "X-A\x01"
      "b: c\r\n";
  EXPECT_EQ(call(StoreConnection::New), 0);
  EXPECT_EQ(call(StoreConnection::Watch), 0);
  EXPECT_EQ(call(), 200) << "the peer's response counts";
  EXPECT_EQ(peer_.store_calls, 1U);
}

// An earlier build passes such responses on.
TEST_F(StoreClientTest, BrokenResponseFromAPeerCountsAsNone) {
  peer_.store_headers = {{"X-A\x01", "b"}};
  EXPECT_EQ(call(), 0);
  peer_.store_headers.clear();
  peer_.store_status = 0;
  EXPECT_EQ(call(), 0);
}

// The store's rate limit covers all nodes together, so a peer's call would be rejected as well.
TEST_F(StoreClientTest, RateLimitedCallIsNotRetriedThroughPeer) {
  store_status_ = kTooManyRequests;
  EXPECT_EQ(call(), kTooManyRequests);
  EXPECT_EQ(peer_.store_calls, 0U);
}

}  // namespace
}  // namespace shedlever::test
