#include "source/net/http_server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "source/net/http_client.h"
#include "source/net/http_headers.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

class HttpServerTest : public ::testing::Test {
 protected:
  void listen(HttpHandler handler) {
    HttpServerLimits limits;
    limits.header_bytes = 1000;
    limits.body_bytes = 100000;
    server_ = HttpServer::listen(loop_, kAnyLoopbackPort, limits, std::move(handler)).value();
    HttpClientConfig config;
    config.server = server_->endpoint();
    client_ = std::make_unique<HttpClient>(loop_, config);
  }

  HttpExchangeResult exchange(HttpRequest request) {
    std::optional<HttpExchangeResult> result;
    client_->send(std::move(request), kTestTimeout, [&](HttpExchangeResult ended) { result = std::move(ended); });
    EXPECT_TRUE(loop_.runUntil([&] { return result.has_value(); }, kTestTimeout));
    return result.value_or(HttpExchangeResult{});
  }

  EventLoop loop_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpClient> client_;
};

TEST_F(HttpServerTest, PassesEveryMethodToTheHandlerAndAcceptsADelayedResponse) {
  listen([this](HttpServerRequest request, HttpResponder responder) {
    loop_.post([request = std::move(request), responder]() mutable {
      responder.reply({207,
                       {{"Method", request.http.method}, {"Target", request.http.target}, {"Connection", "close"}},
                       request.http.body});
      responder.reply({500, {}, "second"});
    });
  });
  const std::string large(90000, 'x');
  for (const std::string method : {"GET", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "HEAD", "TRACE"}) {
    SCOPED_TRACE(method);
    const std::string body = method == "HEAD" || method == "TRACE" ? "" : large;
    const HttpExchangeResult result = exchange({method, "/a%20b?c=d&e", {}, body});
    EXPECT_EQ(result.status, HttpExchangeStatus::Complete);
    EXPECT_EQ(result.response.status, 207);
    EXPECT_EQ(headerValue(result.response.headers, "method"), method);
    EXPECT_EQ(headerValue(result.response.headers, "target"), "/a%20b?c=d&e");
    EXPECT_EQ(result.response.body, body);
  }
  EXPECT_EQ(client_->openConnections(), 1U);
}

TEST_F(HttpServerTest, MarksOversizedRequests) {
  listen([](const HttpServerRequest& request, HttpResponder responder) {
    EXPECT_TRUE(request.oversize == HttpOversize::None || request.http.body.empty());
    responder.reply({200 + static_cast<int>(request.oversize), {}, ""});
  });
  struct Row {
    const char* name;
    std::size_t header_bytes;
    std::size_t body_bytes;
    int status;
  };
  const std::vector<Row> rows = {{"within", 800, 100000, 200},
                                 {"headers over", 1100, 5, 201},
                                 {"body over", 1, 100001, 202},
                                 {"headers far over", 5000, 5, 400},
                                 {"body far over", 1, 300000, 413}};
  for (const Row& row : rows) {
    SCOPED_TRACE(row.name);
    const HttpExchangeResult result =
        exchange({"POST", "/", {{"X", std::string(row.header_bytes, 'h')}}, std::string(row.body_bytes, 'b')});
    EXPECT_EQ(result.status, HttpExchangeStatus::Complete);
    EXPECT_EQ(result.response.status, row.status);
  }
}

TEST_F(HttpServerTest, CallsOnDisconnectWhenTheClientDisconnects) {
  std::vector<HttpResponder> held;
  int disconnects = 0;
  listen([&](const HttpServerRequest&, HttpResponder responder) {
    responder.onDisconnect([&disconnects] { ++disconnects; });
    held.push_back(std::move(responder));
  });
  client_->send({"GET", "/", {}, ""}, kTestTimeout, [](const HttpExchangeResult&) {});
  ASSERT_TRUE(loop_.runUntil([&] { return !held.empty(); }, kTestTimeout));
  EXPECT_TRUE(held.front().isOpen());
  EXPECT_EQ(server_->inFlightRequests(), 1U);
  client_.reset();
  ASSERT_TRUE(loop_.runUntil([&] { return disconnects > 0; }, kTestTimeout));
  EXPECT_FALSE(held.front().isOpen());
  EXPECT_EQ(server_->inFlightRequests(), 0U);
  held.front().reply({200, {}, ""});
  EXPECT_EQ(disconnects, 1);
}

TEST_F(HttpServerTest, SendsStatus500WhenTheHandlerDropsTheResponder) {
  listen([](const HttpServerRequest&, const HttpResponder&) {});
  EXPECT_EQ(exchange({"GET", "/", {}, ""}).response.status, 500);
}

TEST_F(HttpServerTest, DrainCompletesRequestsInFlightAndRejectsNewConnections) {
  std::vector<HttpResponder> held;
  listen([&](const HttpServerRequest&, HttpResponder responder) { held.push_back(std::move(responder)); });
  std::optional<HttpExchangeResult> result;
  client_->send({"GET", "/", {}, ""}, kTestTimeout, [&](HttpExchangeResult ended) { result = std::move(ended); });
  ASSERT_TRUE(loop_.runUntil([&] { return !held.empty(); }, kTestTimeout));
  bool drained = false;
  server_->drain([&] { drained = true; });
  HttpClient late(loop_, {.server = server_->endpoint()});
  std::optional<HttpExchangeResult> late_result;
  late.send({"GET", "/", {}, ""}, kTestTimeout, [&](HttpExchangeResult ended) { late_result = std::move(ended); });
  ASSERT_TRUE(loop_.runUntil([&] { return late_result.has_value(); }, kTestTimeout));
  EXPECT_EQ(late_result->status, HttpExchangeStatus::NotSent);
  EXPECT_FALSE(drained);

  std::string large;
  large.resize(8000000, 'x');
  held.front().reply({200, {}, large});
  ASSERT_TRUE(loop_.runUntil([&] { return drained; }, kTestTimeout));
  server_.reset();
  ASSERT_TRUE(loop_.runUntil([&] { return result.has_value(); }, kTestTimeout));
  EXPECT_EQ(result->status, HttpExchangeStatus::Complete);
  EXPECT_EQ(result->response.body.size(), large.size());
}

TEST_F(HttpServerTest, DrainWaitsUntilResponsesAreWritten) {
  const std::string large(8000000, 'x');
  bool drained = false;
  listen([&](const HttpServerRequest&, HttpResponder responder) {
    responder.reply({200, {}, large});
    server_->drain([&] {
      drained = true;
      server_.reset();
    });
  });
  const HttpExchangeResult result = exchange({"GET", "/", {}, ""});
  EXPECT_EQ(result.status, HttpExchangeStatus::Complete);
  EXPECT_EQ(result.response.body.size(), large.size());
  EXPECT_TRUE(loop_.runUntil([&] { return drained; }, kTestTimeout));
}

TEST_F(HttpServerTest, ResponderMayOutliveTheServer) {
  std::vector<HttpResponder> held;
  listen([&](const HttpServerRequest&, HttpResponder responder) { held.push_back(std::move(responder)); });
  client_->send({"GET", "/", {}, ""}, kTestTimeout, [](const HttpExchangeResult&) {});
  ASSERT_TRUE(loop_.runUntil([&] { return !held.empty(); }, kTestTimeout));
  server_.reset();
  EXPECT_FALSE(held.front().isOpen());
  held.front().reply({200, {}, ""});
  held.clear();
}

}  // namespace
}  // namespace shedlever::test
