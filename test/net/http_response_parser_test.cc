/// @file
/// Heads, trailers and chunk lines that the parser accepts, compared with the grammar of RFC 9110 and RFC 9112.

#include "source/net/http_response_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace shedlever::test {
namespace {

constexpr std::size_t kLimit = 1000;
constexpr int kMaxByte = 255;

HttpResponseParseStatus parse(const std::string& bytes, HttpResponse* response = nullptr) {
  HttpResponseParser parser(kLimit, kLimit, false);
  const EventBuffer input(evbuffer_new());
  evbuffer_add(input.get(), bytes.data(), bytes.size());
  const HttpResponseParseStatus status = parser.consume(input.get());
  if (status == HttpResponseParseStatus::Complete && response != nullptr) {
    *response = parser.takeResponse();
  }
  return status;
}

bool isAccepted(const std::string& bytes) { return parse(bytes) == HttpResponseParseStatus::Complete; }

/// @return whether the standard allows the byte in a token.
bool isTokenByte(int byte) {
  const std::string marks = "!#$%&'*+-.^_`|~";
  const bool is_digit = byte >= '0' && byte <= '9';
  const bool is_letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
  return is_digit || is_letter || marks.find(static_cast<char>(byte)) != std::string::npos;
}

/// @return whether the standard allows the byte in a value, a reason phrase or a quoted extension.
bool isTextByte(int byte) { return byte == '\t' || (byte >= ' ' && byte != 0x7F); }

/// A line feed ends the line, so that the bytes behind it are another case.
bool endsLine(int byte) { return byte == '\n'; }

struct Place {
  const char* name;
  std::string before;
  std::string after;
  bool (*is_allowed)(int byte);
};

const std::vector<Place>& places() {
  static const std::vector<Place> rows = {
      {"header name", "HTTP/1.1 200 OK\r\nX-", "A: b\r\nContent-Length: 0\r\n\r\n",
       [](int byte) { return isTokenByte(byte) || byte == ':'; }},
      {"header value", "HTTP/1.1 200 OK\r\nX-A: b", "c\r\nContent-Length: 0\r\n\r\n", isTextByte},
      {"reason phrase", "HTTP/1.1 200 O", "K\r\nContent-Length: 0\r\n\r\n", isTextByte},
      {"behind the status", "HTTP/1.1 200", "OK\r\nContent-Length: 0\r\n\r\n", [](int byte) { return byte == ' '; }},
      {"behind the version", "HTTP/1.1", "200 OK\r\nContent-Length: 0\r\n\r\n", [](int byte) { return byte == ' '; }},
      {"interim header name", "HTTP/1.1 103 Early\r\nX-", "A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
       [](int byte) { return isTokenByte(byte) || byte == ':'; }},
      {"interim header value", "HTTP/1.1 103 Early\r\nX-A: b", "c\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
       isTextByte},
      {"trailer name", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-", "A: b\r\n\r\n",
       [](int byte) { return isTokenByte(byte) || byte == ':'; }},
      {"trailer value", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: b", "c\r\n\r\n", isTextByte},
      {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0;a=\"b", "c\"\r\n\r\n", isTextByte},
  };
  return rows;
}

// Guards against a byte that two parsers may understand differently in any line of a response.
TEST(HttpResponseParserTest, AcceptsExactlyTheBytesThatTheStandardAllowsInEachPlace) {
  for (const Place& place : places()) {
    for (int byte = 0; byte <= kMaxByte; ++byte) {
      if (!endsLine(byte)) {
        EXPECT_EQ(isAccepted(place.before + static_cast<char>(byte) + place.after), place.is_allowed(byte))
            << place.name << ", byte " << byte;
      }
    }
  }
}

TEST(HttpResponseParserTest, AcceptsExactlyTheFinalStatusesOfTheStandardsClasses) {
  constexpr int kStatuses = 1000;
  constexpr int kFirstFinal = 200;
  constexpr int kLastFinal = 599;
  for (int status = 0; status < kStatuses; ++status) {
    const std::string digits = std::to_string(kStatuses + status).substr(1);
    const bool is_final = status >= kFirstFinal && status <= kLastFinal;
    EXPECT_EQ(isAccepted("HTTP/1.1 " + digits + " Word\r\nContent-Length: 0\r\n\r\n"), is_final) << digits;
  }
}

// Whatever is accepted has nothing in its head that the client must not get.
RC_GTEST_PROP(HttpResponseParserTest, AcceptedHeadWithRandomBytesIsWithinTheStandard, ()) {
  std::string bytes = "HTTP/1.1 200 OK\r\nX-First: a b\r\nX-Second: c\r\nContent-Length: 0\r\n\r\n";
  const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, unsigned char>>>(
      rc::gen::pair(rc::gen::inRange<std::size_t>(0, bytes.size()), rc::gen::arbitrary<unsigned char>()));
  for (const auto& [at, byte] : changes) {
    bytes[at] = static_cast<char>(byte);
  }
  HttpResponse response;
  if (parse(bytes, &response) != HttpResponseParseStatus::Complete) {
    return;
  }
  RC_ASSERT(response.status >= 200);
  RC_ASSERT(response.status <= 599);
  for (const HttpHeader& header : response.headers) {
    RC_ASSERT(!header.name.empty());
    RC_ASSERT(std::all_of(header.name.begin(), header.name.end(),
                          [](char byte) { return isTokenByte(static_cast<unsigned char>(byte)); }));
    RC_ASSERT(std::all_of(header.value.begin(), header.value.end(),
                          [](char byte) { return isTextByte(static_cast<unsigned char>(byte)); }));
  }
}

}  // namespace
}  // namespace shedlever::test
