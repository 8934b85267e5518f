/// @file
/// Requests that a client sends before the response to an earlier one. Guards against requests that wait unread behind
/// a slow one until their clients give up, and against a request that runs twice because its connection ended.

#include <gtest/gtest.h>

#include "source/net/event_buffers.h"
#include "source/net/socket_address.h"
#include "source/net/strict_http_server.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

std::string get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"; }

/// A client that sends arbitrary bytes and keeps what it receives.
class PipeliningClient {
 public:
  PipeliningClient(EventLoop& loop, const Endpoint& server)
      : stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        stream_.get(),
        [](bufferevent* stream, void* self) {
          static_cast<PipeliningClient*>(self)->received += takeAllBytes(bufferevent_get_input(stream));
        },
        nullptr,
        [](bufferevent*, short events, void* self) {
          if ((events & BEV_EVENT_CONNECTED) == 0) {
            static_cast<PipeliningClient*>(self)->closed = true;
          }
        },
        this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    const auto address = toSocketAddress(server);
    bufferevent_socket_connect(stream_.get(), const_cast<sockaddr*>(address->get()), static_cast<int>(address->length));
  }

  void send(const std::string& bytes) { bufferevent_write(stream_.get(), bytes.data(), bytes.size()); }
  void disconnect() { stream_.reset(); }

  std::string received;
  bool closed = false;

 private:
  BufferEventHandle stream_;
};

/// GET requests may run ahead.
class PipelinedRequestsTest : public ::testing::Test {
 protected:
  PipelinedRequestsTest() : server_(listen()), client_(loop_, server_->endpoint()) {
    server_->setMayRunAhead([](const HttpRequest& request) { return request.method == "GET"; });
  }

  std::unique_ptr<StrictHttpServer> listen() {
    return leaf::try_handle_all(
        [&] {
          return StrictHttpServer::listen(loop_, kAnyLoopbackPort, {},
                                          [this](const HttpRequest& request, StrictHttpResponder responder) {
                                            targets_.push_back(request.target);
                                            responders_.push_back(std::move(responder));
                                          });
        },
        [] { return std::unique_ptr<StrictHttpServer>(); });
  }

  void respond(std::size_t index, const std::string& filler = {}) {
    responders_.at(index).reply({200, {}, "to " + targets_.at(index) + ";" + filler});
  }
  bool runUntil(const std::function<bool()>& done) { return loop_.runUntil(done, kTestTimeout); }
  bool runUntilPassedOn(std::size_t count) {
    return runUntil([&] { return targets_.size() >= count; });
  }
  bool runUntilReceived(const std::string& text) {
    return runUntil([&] { return client_.received.find(text) != std::string::npos; });
  }

  EventLoop loop_;
  std::vector<std::string> targets_;
  std::vector<StrictHttpResponder> responders_;
  std::unique_ptr<StrictHttpServer> server_;
  PipeliningClient client_;
};

TEST_F(PipelinedRequestsTest, RequestIsPassedOnBeforeTheEarlierResponseAndAnsweredAfterIt) {
  client_.send(get("/1") + get("/2") + get("/3"));
  ASSERT_TRUE(runUntilPassedOn(3));
  EXPECT_EQ(server_->inFlightRequests(), 3U);
  respond(2);
  respond(1);
  EXPECT_EQ(server_->inFlightRequests(), 1U);
  EXPECT_TRUE(client_.received.empty());
  respond(0);
  ASSERT_TRUE(runUntilReceived("to /3"));
  EXPECT_LT(client_.received.find("to /1"), client_.received.find("to /2"));
  EXPECT_LT(client_.received.find("to /2"), client_.received.find("to /3"));
  EXPECT_FALSE(client_.closed);
}

// A client repeats it if the connection ends, so it must not have run by then.
TEST_F(PipelinedRequestsTest, RequestThatMayNotRunAheadWaitsForTheEarlierResponses) {
  client_.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab" + get("/3"));
  ASSERT_TRUE(runUntilPassedOn(1));
  respond(0);
  EXPECT_EQ(targets_.size(), 1U);
  ASSERT_TRUE(runUntilPassedOn(2));
  EXPECT_EQ(targets_[1], "/2");
  respond(1);
  ASSERT_TRUE(runUntilPassedOn(3));
  respond(2);
  EXPECT_TRUE(runUntilReceived("to /3"));
}

// A read that overtakes a write of its connection would see the state before it.
TEST_F(PipelinedRequestsTest, NothingRunsBesideARequestThatMayNotRunAhead) {
  client_.send("PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab" + get("/2"));
  ASSERT_TRUE(runUntilPassedOn(1));
  loop_.runUntil([] { return false; }, std::chrono::milliseconds(20));
  EXPECT_EQ(targets_.size(), 1U);
  respond(0);
  EXPECT_TRUE(runUntilPassedOn(2));
}

// Reading is suspended at the limit of the input, so that neither the client's end nor a timeout would be noticed.
TEST_F(PipelinedRequestsTest, ConnectionThatClosesWithMuchUnreadInputEnds) {
  client_.send(get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + std::string(300U << 10U, 'x'));
  ASSERT_TRUE(runUntilPassedOn(2));
  respond(0);
  respond(1);
  ASSERT_TRUE(runUntilReceived("to /2"));
  client_.disconnect();
  EXPECT_TRUE(runUntil([&] { return server_->busyConnections() == 0; }));
}

TEST_F(PipelinedRequestsTest, OneThatHangsAmongTwoHundredHoldsUpABoundedNumber) {
  constexpr std::size_t kRequests = 200;
  constexpr std::size_t kMaxAhead = 64;
  std::string all;
  for (std::size_t i = 0; i < kRequests; ++i) {
    all += get("/" + std::to_string(i));
  }
  client_.send(all);
  std::size_t answered = 0;
  const auto answer_to = [&](std::size_t end) {
    ASSERT_TRUE(runUntil([&] {
      for (; answered < std::min(end, targets_.size()); ++answered) {
        respond(answered);
      }
      return answered == end;
    }));
  };
  answer_to(100);
  ASSERT_TRUE(runUntilReceived("to /99;"));
  ASSERT_TRUE(runUntilPassedOn(100 + kMaxAhead));
  for (std::size_t i = 101; i < targets_.size(); ++i) {
    respond(i);
  }
  loop_.runUntil([] { return false; }, std::chrono::milliseconds(20));
  EXPECT_EQ(targets_.size(), 100 + kMaxAhead);
  EXPECT_EQ(client_.received.find("to /101;"), std::string::npos);
  respond(100);
  answered = 100 + kMaxAhead;
  answer_to(kRequests);
  EXPECT_TRUE(runUntilReceived("to /199;"));
}

TEST_F(PipelinedRequestsTest, NoMoreIsPassedOnWhileManyBytesOfResponsesWait) {
  const std::string large(300U << 10U, 'x');
  client_.send(get("/1") + get("/2"));
  ASSERT_TRUE(runUntilPassedOn(2));
  respond(1, large);
  client_.send(get("/3"));
  loop_.runUntil([] { return false; }, std::chrono::milliseconds(20));
  EXPECT_EQ(targets_.size(), 2U);
  respond(0);
  EXPECT_TRUE(runUntilPassedOn(3));
}

TEST_F(PipelinedRequestsTest, AllRequestsWithoutResponseLearnOfTheDisconnect) {
  client_.send(get("/1") + get("/2") + get("/3"));
  ASSERT_TRUE(runUntilPassedOn(3));
  int disconnected = 0;
  for (const StrictHttpResponder& responder : responders_) {
    responder.onDisconnect([&] { ++disconnected; });
  }
  respond(1);
  client_.disconnect();
  EXPECT_TRUE(runUntil([&] { return disconnected == 2; }));
  EXPECT_EQ(server_->inFlightRequests(), 0U);
}

TEST_F(PipelinedRequestsTest, StoppingServerAnswersWhatItHasPassedOnAndReadsNothingMore) {
  client_.send(get("/1") + get("/2"));
  ASSERT_TRUE(runUntilPassedOn(2));
  server_->closeAfterResponses();
  client_.send(get("/3"));
  respond(0);
  respond(1);
  ASSERT_TRUE(runUntil([&] { return client_.closed; }));
  EXPECT_NE(client_.received.find("to /2"), std::string::npos);
  EXPECT_EQ(client_.received.find("Connection: close"), client_.received.rfind("Connection: close"));
  EXPECT_GT(client_.received.find("Connection: close"), client_.received.find("to /1"));
  EXPECT_EQ(targets_.size(), 2U);
}

TEST_F(PipelinedRequestsTest, NothingBehindARequestThatClosesTheConnectionIsRead) {
  client_.send(get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/3"));
  ASSERT_TRUE(runUntilPassedOn(2));
  respond(1);
  respond(0);
  ASSERT_TRUE(runUntil([&] { return client_.closed; }));
  EXPECT_EQ(targets_.size(), 2U);
  EXPECT_NE(client_.received.find("to /2"), std::string::npos);
}

TEST_F(PipelinedRequestsTest, InvalidRequestIsRejectedAfterTheEarlierResponse) {
  client_.send(get("/1") + "GET /2 HTTP/1.1\nHost: h\r\n\r\n" + get("/3"));
  ASSERT_TRUE(runUntilPassedOn(1));
  respond(0);
  ASSERT_TRUE(runUntil([&] { return client_.closed; }));
  EXPECT_LT(client_.received.find("to /1"), client_.received.find("400"));
  EXPECT_EQ(targets_.size(), 1U);
}

TEST_F(PipelinedRequestsTest, InterimResponseDoesNotOvertakeAnEarlierResponse) {
  client_.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  ASSERT_TRUE(runUntilPassedOn(1));
  respond(0);
  ASSERT_TRUE(runUntilReceived("100 Continue"));
  EXPECT_LT(client_.received.find("to /1"), client_.received.find("100 Continue"));
  client_.send("ab");
  ASSERT_TRUE(runUntilPassedOn(2));
}

}  // namespace
}  // namespace shedlever::test
