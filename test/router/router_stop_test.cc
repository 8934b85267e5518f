/// @file
/// End-to-end tests of requests whose router stops and exits before their servers have responded.

#include <gtest/gtest.h>

#include "source/core/operators/node_status.h"
#include "source/net/event_buffers.h"
#include "source/net/http_headers.h"
#include "source/net/router_codec.h"
#include "source/net/socket_address.h"
#include "test/support/http_call.h"
#include "test/support/router_cluster.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

class RouterStopTest : public ::testing::Test {
 protected:
  RouterCluster::Node& node(std::size_t index) { return *cluster_.nodes()[index]; }

  /// Stops the node's router and destroys it once it may exit, which closes its connections.
  void stopAndExit(RouterCluster::Node& node) {
    node.router->stop([&node] { node.stopped = true; });
    ASSERT_TRUE(cluster_.runUntil([&node] { return node.stopped; }));
    node.router.reset();
  }

  /// @return the server instance that the node's router reports.
  InstanceId instanceAt(RouterCluster::Node& node) {
    const auto page = httpCall(cluster_.loop(), node.router->readinessEndpoint(), "GET", "/status", {}, kTestTimeout);
    EXPECT_TRUE(page.has_value());
    return page ? decodeNodeStatus(page->body).value().instance : InstanceId();
  }

  RouterCluster cluster_;
};

// The exit must not close the connection of a request that still waits, for example for an owner of its key.
TEST_F(RouterStopTest, RequestThatWaitsUntilRouterExitsIsRefusedAsNotRun) {
  cluster_.setStopGrace(milliseconds(2400));
  cluster_.addNode("orders");
  ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.sendAndWait(node(0), "/orders/x").response.status == kOk; }));
  // No server can own the key.
  const auto answer = cluster_.send(node(0), "/search/x", "7");
  stopAndExit(node(0));
  ASSERT_TRUE(cluster_.runUntil([&] { return answer->completed; }));
  EXPECT_EQ(answer->status, HttpExchangeStatus::Complete);
  EXPECT_EQ(answer->response.status, kServiceUnavailable);
  EXPECT_FALSE(headerValue(answer->response.headers, "Retry-After").empty());
}

// The exit must not close the connection of a request that another node's server still runs.
TEST_F(RouterStopTest, RequestThatRunsElsewhereUntilRouterExitsGetsCompleteResponse) {
  cluster_.setStopGrace(milliseconds(2400));
  cluster_.addNode("search");
  cluster_.addNode("orders");
  ASSERT_TRUE(cluster_.runUntilServing());
  const auto slowed =
      httpCall(cluster_.loop(), node(1).server->endpoint(), "POST", "/faults", R"({"slow":4000})", kTestTimeout);
  ASSERT_TRUE(slowed.has_value());
  const auto answer = cluster_.send(node(0), "/orders/x");
  ASSERT_TRUE(cluster_.runUntil([&] { return node(1).server->runningRequests() == 1; }));
  stopAndExit(node(0));
  ASSERT_TRUE(cluster_.runUntil([&] { return answer->completed; }));
  EXPECT_EQ(answer->status, HttpExchangeStatus::Complete);
  EXPECT_EQ(answer->response.status, kGatewayTimeout);
}

// Guards against requests that are cut by the exit: one that came so late in the grace period that its server could not
// finish it was passed on.
TEST_F(RouterStopTest, RequestThatComesLateInTheGracePeriodIsRefusedAndNotPassedOn) {
  cluster_.setStopGrace(milliseconds(4000));
  cluster_.addNode("search");
  cluster_.addNode("orders");
  ASSERT_TRUE(cluster_.runUntilServing());
  const auto slowed =
      httpCall(cluster_.loop(), node(1).server->endpoint(), "POST", "/faults", R"({"slow":4000})", kTestTimeout);
  ASSERT_TRUE(slowed.has_value());
  // Keeps the router from exiting.
  const auto running = cluster_.send(node(0), "/orders/x");
  ASSERT_TRUE(cluster_.runUntil([&] { return node(1).server->runningRequests() == 1; }));
  node(0).router->stop([this] { node(0).stopped = true; });
  cluster_.runFor(2 * node(0).settings.stop.clients_leave);
  const std::size_t started = node(1).server->startedRequests();
  const auto late = cluster_.send(node(0), "/orders/y");
  ASSERT_TRUE(cluster_.runUntil([&] { return late->completed; }));
  EXPECT_EQ(late->status, HttpExchangeStatus::Complete);
  EXPECT_EQ(late->response.status, kServiceUnavailable);
  EXPECT_FALSE(headerValue(late->response.headers, "Retry-After").empty());
  EXPECT_EQ(node(1).server->startedRequests(), started);
  ASSERT_TRUE(cluster_.runUntil([&] { return node(0).stopped; }));
  EXPECT_TRUE(running->completed);
}

/// Another node's router whose link is slow: it forwards a request and receives nothing until `startReading`.
class SlowPeer {
 public:
  SlowPeer(EventLoop& loop, const Endpoint& router) {
    const evutil_socket_t socket = ::socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
    evutil_make_socket_nonblocking(socket);
    stream_.reset(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        stream_.get(), [](bufferevent*, void* self) { static_cast<SlowPeer*>(self)->read(); }, nullptr,
        [](bufferevent*, short events, void* self) {
          if ((events & BEV_EVENT_CONNECTED) == 0) {
            static_cast<SlowPeer*>(self)->closed = true;
          }
        },
        this);
    const auto address = toSocketAddress(router);
    bufferevent_socket_connect(stream_.get(), const_cast<sockaddr*>(address->get()), static_cast<int>(address->length));
    sendWord(prefaceOf(kUnstatedWireVersion));
  }

  void send(const RouterFrame& frame) {
    const std::string bytes = encodeRouterFrame(frame);
    sendWord(static_cast<std::uint32_t>(bytes.size()));
    bufferevent_write(stream_.get(), bytes.data(), bytes.size());
  }

  void startReading() { bufferevent_enable(stream_.get(), EV_READ); }

  std::size_t received_bytes = 0;
  bool closed = false;

 private:
  /// Much smaller than the reply, most of which therefore stays in the router's kernel.
  static constexpr int kReceiveBufferBytes = 4096;

  void read() { received_bytes += takeAllBytes(bufferevent_get_input(stream_.get())).size(); }

  void sendWord(std::uint32_t value) { bufferevent_write(stream_.get(), &value, sizeof(value)); }

  BufferEventHandle stream_;
};

// Bytes that the kernel has accepted but the peer has not received are lost if the exit resets the connection.
TEST_F(RouterStopTest, RouterDoesNotExitBeforePeerHasReceivedItsReply) {
  constexpr std::size_t kReplyBytes = 300'000;
  cluster_.setStopGrace(kTestTimeout);
  cluster_.addNode("orders");
  ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.sendAndWait(node(0), "/orders/x").response.status == kOk; }));
  SlowPeer peer(cluster_.loop(), node(0).router->peersEndpoint());
  peer.send(HelloFrame{NodeName("peer"), Incarnation{1}, false, node(0).settings.node});
  ForwardFrame frame;
  frame.exchange = 1;
  frame.id = RequestId("r-peer");
  frame.instance = instanceAt(node(0));
  frame.route = "/orders/";
  frame.remaining_us = Duration(milliseconds(1000)).count();
  frame.target_us = Duration(milliseconds(1000)).count();
  frame.http = {"POST", "/orders/x?bytes=" + std::to_string(kReplyBytes), {{"Host", "h"}}, {}};
  const std::size_t started = node(0).server->startedRequests();
  peer.send(frame);
  ASSERT_TRUE(cluster_.runUntil([&] { return node(0).server->startedRequests() > started; }));
  // Without the reply on its way, the router would exit before this.
  cluster_.loop().runAfter(2 * node(0).settings.stop.clients_leave, [&peer] { peer.startReading(); });
  stopAndExit(node(0));
  // A closed socket answers this with a reset.
  peer.send(PingFrame{});
  peer.startReading();
  ASSERT_TRUE(cluster_.runUntil([&] { return peer.closed; }));
  EXPECT_GE(peer.received_bytes, kReplyBytes);
}

/// Routers whose requests to "orders" run at most once for each idempotency key.
class ClaimedRequestStopTest : public RouterStopTest {
 protected:
  /// Starts a node whose server works longer than the store takes to become silent, and another node.
  void startNodes() {
    cluster_.requireIdempotencyKeys();
    cluster_.addNode("orders", milliseconds(500));
    cluster_.addNode("search");
    cluster_.setIdempotencyKey("earlier");
    ASSERT_TRUE(cluster_.allNodesRespond("/orders/x", kOk, kTestTimeout));
  }

  /// Runs a request with an idempotency key. The store is silent from before its end, so its outcome stays unwritten.
  void runRequestThatEndsWhileStoreIsSilent() {
    cluster_.setIdempotencyKey("k");
    const auto answer = cluster_.send(node(0), "/orders/x");
    ASSERT_TRUE(cluster_.runUntil([&] { return node(0).server->runningRequests() == 1; }));
    cluster_.setStoreMode("silent");
    ASSERT_TRUE(cluster_.runUntil([&] { return answer->completed; }));
    ASSERT_EQ(answer->response.status, kOk);
  }
};

// After an exit without the write, nobody would know the outcome of the request.
TEST_F(ClaimedRequestStopTest, RouterDoesNotExitBeforeOutcomeOfClaimedRequestIsWritten) {
  cluster_.setStopGrace(kTestTimeout);
  ASSERT_NO_FATAL_FAILURE(startNodes());
  ASSERT_NO_FATAL_FAILURE(runRequestThatEndsWhileStoreIsSilent());
  const std::size_t started = node(0).server->startedRequests();
  node(0).router->stop([&] { node(0).stopped = true; });
  // Without the unwritten outcome, the router would exit before the store is up again.
  cluster_.runFor(2 * node(0).settings.stop.clients_leave);
  cluster_.setStoreMode("up");
  ASSERT_TRUE(cluster_.runUntil([&] { return node(0).stopped; }));
  node(0).router.reset();
  EXPECT_EQ(cluster_.sendAndWait(node(1), "/orders/x").response.status, kOk);
  EXPECT_EQ(node(0).server->startedRequests(), started);
}

TEST_F(ClaimedRequestStopTest, RouterExitsAtTheEndOfItsGraceThoughStoreStaysSilent) {
  cluster_.setStopGrace(milliseconds(2400));
  ASSERT_NO_FATAL_FAILURE(startNodes());
  ASSERT_NO_FATAL_FAILURE(runRequestThatEndsWhileStoreIsSilent());
  stopAndExit(node(0));
}

}  // namespace
}  // namespace shedlever::test
