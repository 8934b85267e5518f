/// @file
/// Ambiguous requests, limits, the order of responses, and clients that disconnect.

#include "source/net/strict_http_server.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "source/net/event_buffers.h"
#include "source/net/http_request_parser.h"
#include "source/net/socket_address.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

/// A client that sends arbitrary bytes.
class RawClient {
 public:
  RawClient(EventLoop& loop, const Endpoint& server)
      : stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        stream_.get(), [](bufferevent*, void* self) { static_cast<RawClient*>(self)->read(); }, nullptr,
        [](bufferevent*, short events, void* self) {
          if ((events & BEV_EVENT_CONNECTED) == 0) {
            static_cast<RawClient*>(self)->closed = true;
          }
        },
        this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    const auto address = toSocketAddress(server);
    bufferevent_socket_connect(stream_.get(), const_cast<sockaddr*>(address->get()), static_cast<int>(address->length));
  }

  void send(const std::string& bytes) { bufferevent_write(stream_.get(), bytes.data(), bytes.size()); }
  /// Sends without running the event loop, and waits until the bytes are in the server's receive buffer.
  void sendAndAwaitArrival(const std::string& bytes) {
    const evutil_socket_t socket = bufferevent_getfd(stream_.get());
    ASSERT_EQ(::send(socket, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
    while (unacknowledgedBytes(socket) > 0) {
    }
  }
  void disconnect() { stream_.reset(); }

  std::string received;
  bool closed = false;

 private:
  void read() { received += takeAllBytes(bufferevent_get_input(stream_.get())); }

  BufferEventHandle stream_;
};

class StrictHttpServerTest : public ::testing::Test {
 protected:
  StrictHttpServerTest() {
    StrictHttpLimits limits;
    limits.header_bytes = 1000;
    limits.body_bytes = 100;
    server_ = leaf::try_handle_all(
        [&] {
          return StrictHttpServer::listen(loop_, kAnyLoopbackPort, limits,
                                          [this](HttpRequest request, StrictHttpResponder responder) {
                                            requests_.push_back(std::move(request));
                                            responders_.push_back(std::move(responder));
                                            if (responds_immediately_) {
                                              respondToLast();
                                            }
                                          });
        },
        [] { return std::unique_ptr<StrictHttpServer>(); });
  }

  void respondToLast() { responders_.back().reply({200, {{"A", "b"}}, "to " + requests_.back().target}); }
  bool runUntil(const std::function<bool()>& done) { return loop_.runUntil(done, kTestTimeout); }

  EventLoop loop_;
  std::unique_ptr<StrictHttpServer> server_;
  std::vector<HttpRequest> requests_;
  std::vector<StrictHttpResponder> responders_;
  bool responds_immediately_ = true;
};

struct InvalidRequestCase {
  const char* name;
  std::string bytes;
  const char* status;
};

const std::string kHidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";

std::vector<InvalidRequestCase> invalidRequestCases() {
  const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";
  return {
      {"two lengths", post + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello" + kHidden, "400"},
      {"two equal lengths", post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello" + kHidden, "400"},
      {"length and chunks", post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + kHidden, "400"},
      {"blank before the colon", post + "Content-Length : 5\r\n\r\nhello" + kHidden, "400"},
      {"tab before the colon", post + "Content-Length\t: 5\r\n\r\nhello" + kHidden, "400"},
      {"signed length", post + "Content-Length: +5\r\n\r\nhello" + kHidden, "400"},
      {"negative length", post + "Content-Length: -5\r\n\r\nhello" + kHidden, "400"},
      {"hexadecimal length", post + "Content-Length: 0x5\r\n\r\nhello" + kHidden, "400"},
      {"list of lengths", post + "Content-Length: 5, 5\r\n\r\nhello" + kHidden, "400"},
      {"unknown coding", post + "Transfer-Encoding: gzip\r\n\r\nhello" + kHidden, "400"},
      {"two codings", post + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n" + kHidden, "400"},
      {"coding twice", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + kHidden,
       "400"},
      {"folded line", post + "A: b\r\n Content-Length: 5\r\n\r\n" + kHidden, "400"},
      {"bare line feed", "GET /x HTTP/1.1\nHost: h\r\n\r\n" + kHidden, "400"},
      {"bare line feeds at the end", "GET /x HTTP/1.1\r\nHost: h\n\n" + kHidden, "400"},
      {"no host", "GET /x HTTP/1.1\r\n\r\n" + kHidden, "400"},
      {"two hosts", "GET /x HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n" + kHidden, "400"},
      {"no version", "GET /x\r\n\r\n" + kHidden, "400"},
      {"other version", "GET /x HTTP/2.0\r\nHost: h\r\n\r\n" + kHidden, "400"},
      {"target is no path", "GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n" + kHidden, "400"},
      {"bad chunk size", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + kHidden, "400"},
      {"chunk longer than it says", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n" + kHidden,
       "400"},
      {"upgrade", "GET /x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + kHidden, "400"},
      {"headers too large", "GET /x HTTP/1.1\r\nHost: h\r\nA: " + std::string(2000, 'a') + "\r\n\r\n", "431"},
      {"body too large", post + "Content-Length: 101\r\n\r\n" + std::string(101, 'b') + kHidden, "413"}};
}

TEST_F(StrictHttpServerTest, RejectsInvalidRequestsAndReadsNothingAfterThem) {
  for (const InvalidRequestCase& row : invalidRequestCases()) {
    requests_.clear();
    RawClient client(loop_, server_->endpoint());
    client.send(row.bytes);
    ASSERT_TRUE(runUntil([&] { return client.closed; })) << row.name;
    EXPECT_TRUE(client.received.starts_with(std::string("HTTP/1.1 ") + row.status)) << row.name << client.received;
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos) << row.name;
    EXPECT_TRUE(requests_.empty()) << row.name;
  }
}

TEST_F(StrictHttpServerTest, CallsOnRejectedForAnInvalidRequest) {
  std::vector<int> rejected_statuses;
  server_->onRejected([&](int status) { rejected_statuses.push_back(status); });
  RawClient client(loop_, server_->endpoint());
  client.send("GET /x HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(runUntil([&] { return client.closed || !client.received.empty(); }));
  EXPECT_EQ(rejected_statuses, std::vector<int>{400});
}

TEST_F(StrictHttpServerTest, AcceptsContentLengthAndChunkedBodies) {
  RawClient client(loop_, server_->endpoint());
  client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");
  client.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
  client.send("GET /c?d HTTP/1.1\r\nHost: h\r\nConnection: X-Own\r\nX-Own: 1\r\nX-Other: 2\r\n\r\n");
  ASSERT_TRUE(runUntil([&] { return client.received.find("to /c?d") != std::string::npos; }));
  ASSERT_EQ(requests_.size(), 3U);
  EXPECT_EQ(requests_[0].body, "hello");
  EXPECT_EQ(requests_[1].body, "hello");
  EXPECT_EQ(requests_[2].headers, (std::vector<HttpHeader>{{"Host", "h"}, {"X-Other", "2"}}));
}

TEST_F(StrictHttpServerTest, RespondsToPipelinedRequestsInOrderOneAtATime) {
  responds_immediately_ = false;
  RawClient client(loop_, server_->endpoint());
  client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([&] { return !requests_.empty(); }));
  EXPECT_EQ(requests_.size(), 1U);
  respondToLast();
  ASSERT_TRUE(runUntil([&] { return requests_.size() == 2; }));
  respondToLast();
  ASSERT_TRUE(runUntil([&] { return client.received.find("to /2") != std::string::npos; }));
  EXPECT_LT(client.received.find("to /1"), client.received.find("to /2"));
  EXPECT_EQ(server_->inFlightRequests(), 0U);
}

TEST_F(StrictHttpServerTest, CallsOnDisconnectWhenAClientDisconnectsBeforeTheResponse) {
  responds_immediately_ = false;
  RawClient client(loop_, server_->endpoint());
  client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([&] { return !requests_.empty(); }));
  bool disconnected = false;
  responders_.back().onDisconnect([&] { disconnected = true; });
  client.disconnect();
  EXPECT_TRUE(runUntil([&] { return disconnected; }));
  EXPECT_EQ(server_->inFlightRequests(), 0U);
  respondToLast();
}

TEST_F(StrictHttpServerTest, ClosesConnectionsAfterResponsesWhenRequested) {
  RawClient client(loop_, server_->endpoint());
  server_->closeAfterResponses();
  client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([&] { return client.closed; }));
  EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
  EXPECT_NE(client.received.find("to /1"), std::string::npos);
}

// Guards against an interim response that stays in the output buffer of a connection that had a response before.
TEST_F(StrictHttpServerTest, SendsContinueForALaterRequestOfAKeptConnection) {
  RawClient client(loop_, server_->endpoint());
  client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([&] { return client.received.find("to /1") != std::string::npos; }));
  client.send("POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  ASSERT_TRUE(loop_.runUntil([&] { return client.received.find("100 Continue") != std::string::npos; },
                             StrictHttpLimits{}.idle_timeout / 2));
  client.send("ab");
  EXPECT_TRUE(runUntil([&] { return client.received.find("to /2") != std::string::npos; }));
}

TEST_F(StrictHttpServerTest, SendsContinueWhenTheClientExpectsIt) {
  RawClient client(loop_, server_->endpoint());
  client.send("POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  ASSERT_TRUE(runUntil([&] { return client.received.find("100 Continue") != std::string::npos; }));
  client.send("ab");
  ASSERT_TRUE(runUntil([&] { return client.received.find("to /1") != std::string::npos; }));
  EXPECT_EQ(requests_.back().body, "ab");
}

// A process must not exit between passing its last response to the server and the end of the transmission.
TEST_F(StrictHttpServerTest, ConnectionIsBusyUntilTheClientHasReadTheResponse) {
  responds_immediately_ = false;
  RawClient client(loop_, server_->endpoint());
  server_->closeAfterResponses();
  client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([&] { return !requests_.empty(); }));
  EXPECT_EQ(server_->busyConnections(), 1U);
  respondToLast();
  EXPECT_EQ(server_->inFlightRequests(), 0U);
  EXPECT_EQ(server_->busyConnections(), 1U);
  ASSERT_TRUE(runUntil([&] { return client.closed; }));
  EXPECT_NE(client.received.find("to /1"), std::string::npos);
  client.disconnect();
  EXPECT_TRUE(runUntil([&] { return server_->busyConnections() == 0; }));
}

TEST_F(StrictHttpServerTest, CloseIdleConnectionsKeepsBusyConnections) {
  responds_immediately_ = false;
  RawClient busy(loop_, server_->endpoint());
  RawClient idle(loop_, server_->endpoint());
  busy.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  idle.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([&] { return requests_.size() == 2; }));
  const std::size_t second = requests_[0].target == "/2" ? 0 : 1;
  responders_[second].reply({200, {}, {}});
  ASSERT_TRUE(runUntil([&] { return idle.received.find("200") != std::string::npos; }));
  server_->closeIdleConnections();
  ASSERT_TRUE(runUntil([&] { return idle.closed; }));
  EXPECT_FALSE(busy.closed);
}

// A stopping process closes idle connections; a request may arrive between its last read and the close.
TEST_F(StrictHttpServerTest, CloseIdleConnectionsKeepsConnectionWithArrivedRequest) {
  RawClient client(loop_, server_->endpoint());
  client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([&] { return client.received.find("to /1") != std::string::npos; }));
  client.sendAndAwaitArrival("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  server_->closeIdleConnections();
  ASSERT_TRUE(runUntil([&] { return client.closed || client.received.find("to /2") != std::string::npos; }));
  EXPECT_FALSE(client.closed);
}

RC_GTEST_PROP(HttpRequestParserProperty, ResultDoesNotDependOnHowTheBytesAreSplit, ()) {
  const std::string bytes =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
  const auto cuts = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 20));
  HttpRequestParser parser(1000, 100);
  const EventBuffer buffer(evbuffer_new());
  std::size_t at = 0;
  std::size_t next = 0;
  HttpRequestParseStatus status = HttpRequestParseStatus::Empty;
  while (at < bytes.size()) {
    const std::size_t size = std::min(bytes.size() - at, cuts.empty() ? bytes.size() : cuts[next++ % cuts.size()]);
    evbuffer_add(buffer.get(), bytes.data() + at, size);
    at += size;
    status = parser.consume(buffer.get());
  }
  RC_ASSERT(status == HttpRequestParseStatus::Complete);
  RC_ASSERT(parser.takeRequest().body == "hello");
}

/// Bodies are larger than what is never charged.
class BodyBudgetTest : public ::testing::Test {
 protected:
  void SetUp() override {
    StrictHttpLimits limits;
    limits.body_bytes = 1000 * kBody;
    server_ = leaf::try_handle_all(
        [&] {
          return StrictHttpServer::listen(
              loop_, kAnyLoopbackPort, limits,
              [this](const HttpRequest&, const StrictHttpResponder& responder) { responders_.push_back(responder); });
        },
        [] { return std::unique_ptr<StrictHttpServer>(); });
    server_->setBodyBudget(budget_);
  }

  static std::string head(std::size_t length) {
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
  }
  static std::string body(std::size_t size) { return std::string(size, 'b'); }
  bool runUntil(const std::function<bool()>& done) { return loop_.runUntil(done, kTestTimeout); }

  static constexpr std::size_t kBody = 2 * kUnchargedBodyBytes;
  EventLoop loop_;
  /// Holds four bodies that are received or whose requests run.
  MemoryBudget budget_{8 * kBody};
  std::unique_ptr<StrictHttpServer> server_;
  std::vector<StrictHttpResponder> responders_;
};

TEST_F(BodyBudgetTest, BodyThatNeverFitsIsRefusedBeforeItArrives) {
  RawClient client(loop_, server_->endpoint());
  client.send(head(5 * kBody));
  ASSERT_TRUE(runUntil([&] { return !client.received.empty(); }));
  EXPECT_TRUE(client.received.starts_with("HTTP/1.1 413"));
}

TEST_F(BodyBudgetTest, LargestIncompleteBodyGivesWayToLaterOnes) {
  RawClient large(loop_, server_->endpoint());
  large.send(head(4 * kBody) + body(3 * kBody));
  ASSERT_TRUE(runUntil([&] { return budget_.used() == 6 * kBody; }));
  RawClient later(loop_, server_->endpoint());
  later.send(head(2 * kBody) + body(2 * kBody));
  ASSERT_TRUE(runUntil([&] { return responders_.size() == 1; }));
  ASSERT_TRUE(runUntil([&] { return !large.received.empty(); }));
  EXPECT_TRUE(large.received.starts_with("HTTP/1.1 503")) << large.received;
  EXPECT_NE(large.received.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(budget_.used(), 4 * kBody);
}

TEST_F(BodyBudgetTest, BodyWithoutRoomBesideRunningRequestsIsRefusedAsNotRun) {
  RawClient running(loop_, server_->endpoint());
  running.send(head(4 * kBody) + body(4 * kBody));
  ASSERT_TRUE(runUntil([&] { return responders_.size() == 1; }));
  RawClient later(loop_, server_->endpoint());
  later.send(head(kBody) + body(kBody));
  ASSERT_TRUE(runUntil([&] { return !later.received.empty(); }));
  EXPECT_TRUE(later.received.starts_with("HTTP/1.1 503")) << later.received;
  EXPECT_EQ(responders_.size(), 1U);
  RawClient ordinary(loop_, server_->endpoint());
  ordinary.send(head(100) + body(100));
  EXPECT_TRUE(runUntil([&] { return responders_.size() == 2; })) << "ordinary requests are not charged";
  responders_.front().reply({200, {}, {}});
  EXPECT_EQ(budget_.used(), 0U);
}

TEST_F(BodyBudgetTest, EndOfAConnectionFreesItsMemory) {
  RawClient client(loop_, server_->endpoint());
  client.send(head(4 * kBody) + body(3 * kBody));
  ASSERT_TRUE(runUntil([&] { return budget_.used() == 6 * kBody; }));
  client.disconnect();
  EXPECT_TRUE(runUntil([&] { return budget_.used() == 0; }));
}

}  // namespace
}  // namespace shedlever::test
