/// @file
/// Servers in trouble that send responses which break the syntax of HTTP. Guards against clients that get such a
/// response, or lines that two parsers may understand differently, as the answer to their request.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "source/net/http_headers.h"
#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

using std::string_literals::operator""s;

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
const std::string kBody = "ok";
/// Stands for the header lines with the ids and the seal of the server's own response.
const std::string kIdentityLines = "{identity}";

/// What a server sends, and its name in the output of the test.
struct RawResponse {
  const char* name;
  std::string bytes;
};

std::string withStatusLine(const std::string& line) {
  return line + "\r\n" + kIdentityLines + "Content-Length: 2\r\n\r\n" + kBody;
}

std::string withHeaderLine(const std::string& line) {
  return "HTTP/1.1 200 OK\r\n" + kIdentityLines + line + "\r\nContent-Length: 2\r\n\r\n" + kBody;
}

std::string withChunks(const std::string& chunks) {
  return "HTTP/1.1 200 OK\r\n" + kIdentityLines + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
}

std::string withTrailerLine(const std::string& line) {
  return withChunks("2\r\n" + kBody + "\r\n0\r\n" + line + "\r\n\r\n");
}

std::string withInterimLine(const std::string& line) {
  return "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + withHeaderLine("A: b");
}

std::string insertIdentity(std::string bytes, const HttpResponse& response) {
  std::string lines;
  for (const HttpHeader& header : response.headers) {
    lines += header.name + ": " + header.value + "\r\n";
  }
  const std::size_t at = bytes.find(kIdentityLines);
  return at == std::string::npos ? bytes : bytes.replace(at, kIdentityLines.size(), lines);
}

class BrokenResponseTest : public ::testing::Test {
 protected:
  void SetUp() override {
    // The client's router is that of the node without the server, so that responses also travel between routers.
    client_node_ = &cluster_.addNode("search");
    server_node_ = &cluster_.addNode("orders");
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  /// Sends a request that must not be repeated, to which the server responds with the raw bytes.
  ClientResponse responseTo(const RawResponse& raw) {
    server_node_->server->setRawResponse(
        [&raw](const HttpResponse& response) { return insertIdentity(raw.bytes, response); });
    ClientResponse response = cluster_.sendAndWait(*client_node_, "/orders/x");
    server_node_->server->setRawResponse({});
    return response;
  }

  /// Expects 502, which promises nothing, for each of them: the server has run the request, once. Expects that the next
  /// request is served.
  void expectNotPassedOn(const std::vector<RawResponse>& rows) {
    for (const RawResponse& row : rows) {
      SCOPED_TRACE(row.name);
      const std::size_t started_before = server_node_->server->startedRequests();
      const ClientResponse client = responseTo(row);
      EXPECT_EQ(client.status, HttpExchangeStatus::Complete);
      EXPECT_EQ(client.response.status, kBadGateway);
      EXPECT_EQ(client.response.body, "");
      EXPECT_EQ(findHeader(client.response.headers, "X-Response-Seal"), nullptr);
      EXPECT_EQ(server_node_->server->startedRequests(), started_before + 1);
      EXPECT_EQ(cluster_.sendAndWait(*client_node_, "/orders/x").response.status, kOk);
    }
  }

  RouterCluster cluster_;
  RouterCluster::Node* client_node_ = nullptr;
  RouterCluster::Node* server_node_ = nullptr;
};

TEST_F(BrokenResponseTest, HeaderNameThatIsNoTokenEndsTheRequestAsFailed) {
  expectNotPassedOn({
      {"NUL in a name", withHeaderLine("X-A\0b: c"s)},
      {"control byte in a name", withHeaderLine("X-A\x01"
                                                "b: c")},
      {"vertical tab in a name", withHeaderLine("X-A\x0B"
                                                "b: c")},
      {"DEL in a name", withHeaderLine("X-A\x7F"
                                       "b: c")},
      {"bare CR in a name", withHeaderLine("X-A\rb: c")},
      {"control byte before the colon", withHeaderLine("X-A\x01: c")},
      {"parenthesis in a name", withHeaderLine("X-A(b: c")},
      {"byte above 127 in a name", withHeaderLine("X-A\xE4"
                                                  "b: c")},
      {"control byte in the name of a second length", withHeaderLine("Content\x01Length: 1")},
      {"DEL in the name of a coding", withHeaderLine("Transfer-Encoding\x7F: chunked")},
  });
}

TEST_F(BrokenResponseTest, ControlByteInAHeaderValueEndsTheRequestAsFailed) {
  expectNotPassedOn({
      {"NUL in a value", withHeaderLine("X-A: a\0b"s)},
      {"control byte in a value", withHeaderLine("X-A: a\x01"
                                                 "b")},
      {"DEL in a value", withHeaderLine("X-A: a\x7F"
                                        "b")},
      {"bare CR in a value", withHeaderLine("X-A: a\rSet-Cookie: b")},
      {"bare CR at the end of a value", withHeaderLine("X-A: a\r")},
      {"control byte in a connection's value", withHeaderLine("Connection: close\x01")},
  });
}

TEST_F(BrokenResponseTest, BrokenLineInATrailerEndsTheRequestAsFailed) {
  expectNotPassedOn({
      {"control byte in a trailer's name", withTrailerLine("X-A\x01"
                                                           "b: c")},
      {"control byte in a trailer's value", withTrailerLine("X-A: b\x01"
                                                            "c")},
      {"blank in a trailer's name", withTrailerLine("X A: b")},
      {"trailer without a colon", withTrailerLine("X-A")},
      {"folded trailer", withTrailerLine("X-A: b\r\n c")},
  });
}

TEST_F(BrokenResponseTest, BrokenLineInAnInterimResponseEndsTheRequestAsFailed) {
  expectNotPassedOn({
      {"control byte in a name", withInterimLine("X-A\x01"
                                                 "b: c")},
      {"control byte in a value", withInterimLine("X-A: b\x01"
                                                  "c")},
      {"blank in a name", withInterimLine("X A: b")},
      {"status line without a blank", "HTTP/1.1 103X\r\n\r\n" + withHeaderLine("A: b")},
  });
}

TEST_F(BrokenResponseTest, BrokenStatusLineEndsTheRequestAsFailed) {
  expectNotPassedOn({
      {"four digits", withStatusLine("HTTP/1.1 2000 OK")},
      {"letter behind the digits", withStatusLine("HTTP/1.1 200x OK")},
      {"control byte for the first blank", withStatusLine("HTTP/1.1\x01"
                                                          "200 OK")},
      {"control byte for the second blank", withStatusLine("HTTP/1.1 200\x01OK")},
      {"letter in the version", withStatusLine("HTTP/1.x 200 OK")},
      {"bare CR in the reason phrase", withStatusLine("HTTP/1.1 200 O\rK")},
      {"NUL in the reason phrase", withStatusLine("HTTP/1.1 200 O\0K"s)},
  });
}

TEST_F(BrokenResponseTest, StatusOutsideTheStandardsClassesEndsTheRequestAsFailed) {
  expectNotPassedOn({
      {"600", withStatusLine("HTTP/1.1 600 Odd")},
      {"700", withStatusLine("HTTP/1.1 700 Odd")},
      {"999", withStatusLine("HTTP/1.1 999 Odd")},
  });
}

TEST_F(BrokenResponseTest, BrokenChunkLineEndsTheRequestAsFailed) {
  expectNotPassedOn({
      {"control byte in an extension", withChunks("2;a=\x01\r\n" + kBody + "\r\n0\r\n\r\n")},
      {"bare CR in an extension", withChunks("2;a=b\r3\r\n" + kBody + "\r\n0\r\n\r\n")},
      {"NUL in the last chunk's extension", withChunks("2\r\n" + kBody + "\r\n0;a\0\r\n\r\n"s)},
  });
}

// Chunks inside of chunks would reach the client as the body.
TEST_F(BrokenResponseTest, TwoLinesWithACodingEndTheRequestAsFailed) {
  expectNotPassedOn({
      {"two codings", "HTTP/1.1 200 OK\r\n" + kIdentityLines +
                          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
  });
}

TEST_F(BrokenResponseTest, StatusBelowTheStandardsClassesEndsTheRequestAsFailed) {
  expectNotPassedOn({
      {"000", withStatusLine("HTTP/1.1 000 OK")},
      {"099", withStatusLine("HTTP/1.1 099 OK")},
      {"two digits", withStatusLine("HTTP/1.1 20 OK")},
      {"minus", withStatusLine("HTTP/1.1 -20 OK")},
      {"plus", withStatusLine("HTTP/1.1 +20 OK")},
      {"no status", withStatusLine("HTTP/1.1")},
      {"switching protocols", withStatusLine("HTTP/1.1 101 Switching Protocols")},
      {"later version", withStatusLine("HTTP/2.0 200 OK")},
      {"bytes that are no response", "\x01\x02\x03\r\n\r\n"},
  });
}

TEST_F(BrokenResponseTest, HeaderNameThatIsEmptyOrHasABlankEndsTheRequestAsFailed) {
  expectNotPassedOn({
      {"blank in a name", withHeaderLine("X A: b")},
      {"tab in a name", withHeaderLine("X\tA: b")},
      {"blank before the colon", withHeaderLine("X-A : b")},
      {"tab before the colon", withHeaderLine("X-A\t: b")},
      {"empty name", withHeaderLine(": b")},
      {"no colon", withHeaderLine("X-A")},
      {"folded line", withHeaderLine("X-A: b\r\n c: d")},
  });
}

TEST_F(BrokenResponseTest, UncertainLengthEndsTheRequestAsFailed) {
  expectNotPassedOn({
      {"two lengths", withHeaderLine("Content-Length: 1")},
      {"length with a sign", "HTTP/1.1 200 OK\r\n" + kIdentityLines + "Content-Length: +2\r\n\r\nok"},
      {"length beside chunks", withHeaderLine("Transfer-Encoding: chunked")},
      {"unknown coding", "HTTP/1.1 200 OK\r\n" + kIdentityLines + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
      {"control byte in a chunk's size", withChunks("2\x01\r\nok\r\n0\r\n\r\n")},
  });
}

TEST_F(BrokenResponseTest, ResponseThatStopsBeforeItsEndEndsTheRequestAsFailed) {
  expectNotPassedOn({
      {"in the status line", "HTTP/1.1 20"},
      {"behind the status line", "HTTP/1.1 200 OK\r\n"},
      {"in a header's name", "HTTP/1.1 200 OK\r\n" + kIdentityLines + "Content-Le"},
      {"in the length", "HTTP/1.1 200 OK\r\n" + kIdentityLines + "Content-Length: 2"},
      {"before the empty line", "HTTP/1.1 200 OK\r\n" + kIdentityLines},
      {"in the empty line", "HTTP/1.1 200 OK\r\n" + kIdentityLines + "\r"},
      {"behind an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n"},
      {"in the body", "HTTP/1.1 200 OK\r\n" + kIdentityLines + "Content-Length: 2\r\n\r\no"},
      {"in a chunk", withChunks("2\r\no")},
      {"before the last chunk", withChunks("2\r\nok\r\n")},
      {"before the end of the trailers", withChunks("2\r\nok\r\n0\r\nX-A: b\r\n")},
  });
}

// Guards against a rule that is stricter than the standard.
TEST_F(BrokenResponseTest, UnusualResponseWithinTheSyntaxReachesTheClient) {
  const std::vector<RawResponse> rows = {
      {"no reason phrase", withStatusLine("HTTP/1.1 200")},
      {"empty reason phrase", withStatusLine("HTTP/1.1 200 ")},
      {"reason phrase above 127", withStatusLine("HTTP/1.1 200 \xC3\xBC")},
      {"earlier version", withStatusLine("HTTP/1.0 200 OK")},
      {"all characters of a token", withHeaderLine("!#$%&'*+-.^_`|~09azAZ: b")},
      {"value with a tab", withHeaderLine("X-A: b\tc")},
      {"value above 127", withHeaderLine("X-A: \xC3\xBC")},
      {"empty value", withHeaderLine("X-A:")},
      {"trailer", withTrailerLine("X-A: b")},
      {"chunk with an extension", withChunks("2;a=\"b c\"\r\nok\r\n0\r\n\r\n")},
      {"interim response", withInterimLine("X-A: b")},
      {"no length", "HTTP/1.1 200 OK\r\n" + kIdentityLines + "\r\nok"},
  };
  for (const RawResponse& row : rows) {
    SCOPED_TRACE(row.name);
    const ClientResponse client = responseTo(row);
    EXPECT_EQ(client.response.status, kOk);
    EXPECT_EQ(client.response.body, kBody);
  }
}

TEST_F(BrokenResponseTest, LastStatusOfTheStandardsClassesReachesTheClient) {
  constexpr int kLastStatus = 599;
  EXPECT_EQ(responseTo({"599", withStatusLine("HTTP/1.1 599 Odd")}).response.status, kLastStatus);
}

}  // namespace
}  // namespace shedlever::test
