#include "source/net/http_client.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>

#include <optional>

#include "source/net/http_response_parser.h"
#include "source/net/socket_address.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

HttpClientConfig configFor(const Endpoint& server) {
  HttpClientConfig config;
  config.server = server;
  config.max_body_bytes = 1000;
  return config;
}

HttpExchangeResult exchangeOnce(EventLoop& loop, HttpClient& client, Duration timeout = kTestTimeout) {
  std::optional<HttpExchangeResult> result;
  client.send({"POST", "/work/a", {{"X-Test", "1"}}, "body"}, timeout, [&](HttpExchangeResult exchange) {
    EXPECT_FALSE(result);
    result = std::move(exchange);
  });
  EXPECT_FALSE(result) << "the callback ran inside send";
  EXPECT_TRUE(loop.runUntil([&] { return result.has_value(); }, kTestTimeout));
  return result.value_or(HttpExchangeResult{});
}

/// The server's reaction to a request, the expected outcome, and whether the client may reuse the connection.
struct ResponseCase {
  const char* name;
  std::string bytes;
  enum class Then { Keep, Finish, Reset } then;
  HttpExchangeStatus status;
  bool reused;
};

const std::vector<ResponseCase>& responseCases() {
  using Then = ResponseCase::Then;
  using Status = HttpExchangeStatus;
  static const std::vector<ResponseCase> rows = {
      {"whole", httpResponseText(200, "", "hello"), Then::Keep, Status::Complete, true},
      {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n",
       Then::Keep, Status::Complete, true},
      {"interim answer first", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + httpResponseText(200, "", "hello"), Then::Keep,
       Status::Complete, true},
      {"server closes", httpResponseText(200, "Connection: close\r\n", "hello"), Then::Finish, Status::Complete, false},
      {"answer doubled", httpResponseText(200, "", "hello") + httpResponseText(200, "", "hello"), Then::Keep,
       Status::Complete, false},
      {"body cut", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", Then::Finish, Status::Malformed, false},
      {"head cut", "HTTP/1.1 200 OK\r\nContent-Le", Then::Finish, Status::Malformed, false},
      {"cut by a reset", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", Then::Keep, Status::TimedOut, false},
      {"chunks cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n", Then::Finish,
       Status::Malformed, false},
      {"length unknown", "HTTP/1.1 200 OK\r\n\r\nhello", Then::Finish, Status::Malformed, false},
      {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", Then::Keep,
       Status::Malformed, false},
      {"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       Then::Keep, Status::Malformed, false},
      {"too long", "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n", Then::Keep, Status::Malformed, false},
      {"garbage", "\x01\x02\r\n\r\n", Then::Keep, Status::Malformed, false},
      {"nothing, closed", "", Then::Finish, Status::ConnectionLost, false},
      {"nothing, reset", "", Then::Reset, Status::ConnectionLost, false},
      {"nothing", "", Then::Keep, Status::TimedOut, false},
  };
  return rows;
}

TEST(HttpClientTest, ReportsTheOutcomeOfEachExchange) {
  for (const ResponseCase& row : responseCases()) {
    SCOPED_TRACE(row.name);
    EventLoop loop;
    ScriptedServer server(loop, [&row](ScriptedConnection& connection) {
      if (!isCompleteRequest(connection.received)) {
        return;
      }
      connection.received.clear();
      connection.write(row.bytes);
      if (row.then == ResponseCase::Then::Finish) {
        connection.closeAfterWriting();
      } else if (row.then == ResponseCase::Then::Reset) {
        connection.reset();
      }
    });
    HttpClient client(loop, configFor(server.endpoint()));
    const Duration timeout = row.status == HttpExchangeStatus::TimedOut ? std::chrono::milliseconds(50) : kTestTimeout;
    for (std::size_t turn = 1; turn <= 2; ++turn) {
      const HttpExchangeResult exchange = exchangeOnce(loop, client, timeout);
      EXPECT_EQ(exchange.status, row.status);
      EXPECT_EQ(exchange.response.body, row.status == HttpExchangeStatus::Complete ? "hello" : "");
      EXPECT_EQ(server.accepted(), row.reused ? 1U : turn);
    }
  }
}

TEST(HttpClientTest, ReportsNotSentOnlyWhenNoByteWasSent) {
  EventLoop loop;
  HttpClient unreachable(loop, configFor(closedEndpoint(loop)));
  EXPECT_EQ(exchangeOnce(loop, unreachable).status, HttpExchangeStatus::NotSent);
  HttpClient no_address(loop, configFor({"not an address", 1}));
  EXPECT_EQ(exchangeOnce(loop, no_address).status, HttpExchangeStatus::NotSent);

  // One connection: the second request waits behind the first, which the server never answers.
  ScriptedServer silent(loop, [](ScriptedConnection&) {});
  HttpClient client(loop, configFor(silent.endpoint()));
  std::vector<HttpExchangeStatus> ends;
  const auto record = [&ends](const HttpExchangeResult& exchange) { ends.push_back(exchange.status); };
  const HttpExchangeId sent = client.send({"GET", "/a", {}, ""}, kTestTimeout, record);
  const HttpExchangeId waiting = client.send({"GET", "/b", {}, ""}, kTestTimeout, record);
  client.send({"GET", "/broken\r\nX: y", {}, ""}, kTestTimeout, record);
  ASSERT_TRUE(
      loop.runUntil([&] { return silent.accepted() == 1 && !silent.connection(0).received.empty(); }, kTestTimeout));
  client.cancel(waiting);
  client.cancel(sent);
  client.cancel(sent);
  ASSERT_TRUE(loop.runUntil([&] { return ends.size() == 3; }, kTestTimeout));
  EXPECT_EQ(ends,
            (std::vector{HttpExchangeStatus::NotSent, HttpExchangeStatus::NotSent, HttpExchangeStatus::Cancelled}));
  EXPECT_EQ(silent.connection(0).received.find("/b"), std::string::npos);
  EXPECT_TRUE(loop.runUntil([&] { return silent.closedByPeer() == 1; }, kTestTimeout))
      << "a cancelled connection is closed";
}

TEST(HttpClientTest, DoesNotReuseAConnectionThatTheServerHasClosed) {
  EventLoop loop;
  ScriptedServer server(loop, [](ScriptedConnection& connection) {
    connection.received.clear();
    connection.write(httpResponseText(200, "", "hello"));
  });
  HttpClient client(loop, configFor(server.endpoint()));
  EXPECT_EQ(exchangeOnce(loop, client).status, HttpExchangeStatus::Complete);
  // Without an iteration of the loop in between, only the kernel knows about the close.
  server.connection(0).closeAfterWriting();
  EXPECT_EQ(exchangeOnce(loop, client).status, HttpExchangeStatus::Complete);
  EXPECT_EQ(server.accepted(), 2U);
}

/// A server that responds to every request and closes no connection.
void respondToAll(ScriptedConnection& connection) {
  if (isCompleteRequest(connection.received)) {
    connection.received.clear();
    connection.write(httpResponseText(200, "", "hello"));
  }
}

HttpExchangeStatus sendWithIdentity(EventLoop& loop, HttpClient& client, const std::string& identity) {
  std::optional<HttpExchangeStatus> status;
  client.send({"GET", "/x", {}, ""}, kTestTimeout,
              [&status](const HttpExchangeResult& exchange) { status = exchange.status; }, {identity, false, {}});
  EXPECT_TRUE(loop.runUntil([&status] { return status.has_value(); }, kTestTimeout));
  return status.value_or(HttpExchangeStatus::NotSent);
}

// Guards against a late copy of the response to the first send that passes for the response to the second.
TEST(HttpClientTest, SendsAnIdentityOnlyOnceOverAConnection) {
  EventLoop loop;
  ScriptedServer server(loop, respondToAll);
  HttpClientConfig config = configFor(server.endpoint());
  config.max_connections = 2;
  HttpClient client(loop, config);
  EXPECT_EQ(sendWithIdentity(loop, client, "a"), HttpExchangeStatus::Complete);
  EXPECT_EQ(sendWithIdentity(loop, client, "b"), HttpExchangeStatus::Complete);
  EXPECT_EQ(server.accepted(), 1U) << "different requests share a connection";
  EXPECT_EQ(sendWithIdentity(loop, client, "a"), HttpExchangeStatus::Complete);
  EXPECT_EQ(server.accepted(), 2U);
  EXPECT_EQ(sendWithIdentity(loop, client, "a"), HttpExchangeStatus::Complete) << "both have carried it";
  EXPECT_EQ(server.accepted(), 3U);
  EXPECT_EQ(client.openConnections(), 2U);
}

TEST(HttpClientTest, ValidatorDecidesOnTheConnection) {
  EventLoop loop;
  ScriptedServer server(loop, respondToAll);
  HttpClient client(loop, configFor(server.endpoint()));
  std::vector<bool> reused;
  const auto exchange = [&](HttpResponseVerdict verdict) {
    std::optional<HttpExchangeStatus> status;
    client.send({"GET", "/x", {}, ""}, kTestTimeout,
                [&status](const HttpExchangeResult& result) { status = result.status; },
                {{}, false, [&reused, verdict](const HttpResponse&, bool is_reused) {
                   reused.push_back(is_reused);
                   return verdict;
                 }});
    EXPECT_TRUE(loop.runUntil([&status] { return status.has_value(); }, kTestTimeout));
    return status;
  };
  EXPECT_EQ(exchange(HttpResponseVerdict::Accept), HttpExchangeStatus::Complete);
  EXPECT_EQ(exchange(HttpResponseVerdict::AcceptAndClose), HttpExchangeStatus::Complete);
  EXPECT_EQ(exchange(HttpResponseVerdict::Reject), HttpExchangeStatus::Malformed);
  EXPECT_EQ(exchange(HttpResponseVerdict::Accept), HttpExchangeStatus::Complete);
  EXPECT_EQ(reused, (std::vector<bool>{false, true, false, false}));
  EXPECT_EQ(server.accepted(), 3U);
}

RC_GTEST_PROP(HttpResponseParserTest, ResultDoesNotDependOnHowTheBytesAreSplit, ()) {
  const ResponseCase& row = responseCases()[*rc::gen::inRange<std::size_t>(0, responseCases().size())];
  HttpResponseParser whole(1000, 1000, false);
  EventBuffer whole_input(evbuffer_new());
  evbuffer_add(whole_input.get(), row.bytes.data(), row.bytes.size());
  const HttpResponseParseStatus expected = whole.consume(whole_input.get());

  HttpResponseParser parts(1000, 1000, false);
  EventBuffer input(evbuffer_new());
  HttpResponseParseStatus status = HttpResponseParseStatus::Incomplete;
  std::size_t at = 0;
  while (at < row.bytes.size() && status == HttpResponseParseStatus::Incomplete) {
    const std::size_t size = *rc::gen::inRange<std::size_t>(1, row.bytes.size() - at + 1);
    evbuffer_add(input.get(), row.bytes.data() + at, size);
    at += size;
    status = parts.consume(input.get());
  }
  RC_ASSERT(status == expected);
  if (expected == HttpResponseParseStatus::Complete) {
    RC_ASSERT(whole.takeResponse().body == parts.takeResponse().body);
  }
}

/// @return TCP_USER_TIMEOUT in milliseconds of this process's connection to the server.
std::optional<unsigned> userTimeoutOfConnectionTo(const Endpoint& server) {
  constexpr int kMaxDescriptors = 1024;
  for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
    if (remoteEndpoint(descriptor) != server) {
      continue;
    }
    unsigned milliseconds = 0;
    socklen_t size = sizeof(milliseconds);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, &size) == 0) {
      return milliseconds;
    }
  }
  return std::nullopt;
}

// Without the timeout, a request would wait for its whole timeout after a network partition.
TEST(HttpClientTest, SetsTheDeadPeerTimeoutOnItsConnection) {
  EventLoop loop;
  ScriptedServer server(loop, [](ScriptedConnection&) {});
  HttpClientConfig config = configFor(server.endpoint());
  config.dead_peer_timeout = std::chrono::milliseconds(1500);
  HttpClient client(loop, config);
  client.send({"GET", "/watch", {}, {}}, kTestTimeout, [](const HttpExchangeResult&) {});
  ASSERT_TRUE(
      loop.runUntil([&] { return userTimeoutOfConnectionTo(server.endpoint()).value_or(0) != 0; }, kTestTimeout));
  EXPECT_EQ(userTimeoutOfConnectionTo(server.endpoint()), 1500U);
}

}  // namespace
}  // namespace shedlever::test
