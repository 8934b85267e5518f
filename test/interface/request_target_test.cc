#include "source/interface/request_target.h"

#include <gtest/gtest.h>

#include "source/interface/header_rules.h"

namespace shedlever {
namespace {

TEST(RequestTarget, KeyIsTheDecodedPathSegmentOrTheHeader) {
  struct Row {
    const char* name;
    const char* prefix;
    KeySource source;
    const char* target;
    std::vector<HttpHeader> headers;
    std::optional<std::string> key;
  };
  const Row rows[] = {
      {"segment", "/t/", KeySource::Path, "/t/user7/rest", {}, "user7"},
      {"last segment", "/t/", KeySource::Path, "/t/user7", {}, "user7"},
      {"query is not part of the key", "/t/", KeySource::Path, "/t/user7?a=b/c", {}, "user7"},
      {"prefix without slash", "/t", KeySource::Path, "/t/user7", {}, "user7"},
      {"decoded", "/t/", KeySource::Path, "/t/a%2Fb%20c%e2", {}, "a/b c\xe2"},
      {"plus is not decoded", "/t/", KeySource::Path, "/t/a+b", {}, "a+b"},
      {"truncated escape", "/t/", KeySource::Path, "/t/ab%2", {}, std::nullopt},
      {"no hex digits", "/t/", KeySource::Path, "/t/ab%zz", {}, std::nullopt},
      {"empty", "/t/", KeySource::Path, "/t/", {}, std::nullopt},
      {"empty before slash", "/t/", KeySource::Path, "/t//x", {}, std::nullopt},
      {"header in any case", "/t/", KeySource::Header, "/t/x", {{"x-KEY", "user%37"}}, "user%37"},
      {"header missing", "/t/", KeySource::Header, "/t/x", {}, std::nullopt},
      {"header empty", "/t/", KeySource::Header, "/t/x", {{"X-Key", ""}}, std::nullopt},
      {"header twice", "/t/", KeySource::Header, "/t/x", {{"X-Key", "a"}, {"X-Key", "b"}}, std::nullopt},
  };
  for (const Row& row : rows) {
    ServiceSettings settings;
    settings.path_prefix = row.prefix;
    settings.key_source = row.source;
    settings.key_header = "X-Key";
    const std::optional<Key> expected = row.key ? std::optional(keyFromText(*row.key)) : std::nullopt;
    EXPECT_EQ(requestKey(settings, {"GET", row.target, row.headers, ""}), expected) << row.name;
  }
}

TEST(RequestTarget, TargetsThatCouldLeaveTheServicePathAreUnsafe) {
  for (const char* const safe : {"/t/a", "/t/a.b/..c/d..", "/t/...", "/t/a?x=/../y", "/t/%41%2eb"}) {
    EXPECT_TRUE(isSafeTarget(safe)) << safe;
  }
  for (const char* const unsafe :
       {"", "t/a", "http://t/a", "/t/../../grants", "/t/..", "/t/./a", "/t/%2e%2E/grants", "/t/..%2fgrants",
        "/t/a%2f../grants", "/t/..\\grants", "/t/a b", "/t/a\r\nX: y", "/t/\x7f", "/t/%zz", "/t/%2"}) {
    EXPECT_FALSE(isSafeTarget(unsafe)) << unsafe;
  }
}

TEST(RequestTarget, LimitsApplyToBodyAndHeaders) {
  ServiceSettings settings;
  settings.body_limit = 10;
  settings.header_limit = 20;
  const std::string ten(10, 'x');
  EXPECT_EQ(checkLimits(settings, {"PUT", "/t", {}, ten}), Reason::None);
  EXPECT_EQ(checkLimits(settings, {"PUT", "/t", {}, ten + "x"}), Reason::TooLarge);
  EXPECT_EQ(checkLimits(settings, {"PUT", "/t", {{"name", "valuex"}}, ""}), Reason::None) << "3 + 2 + 4 + 6 + 4 = 19";
  EXPECT_EQ(checkLimits(settings, {"PUT", "/t", {{"name", "valuexyz"}}, ""}), Reason::TooLarge);
}

std::string namesOf(const std::vector<HttpHeader>& headers) {
  std::string names;
  for (const HttpHeader& header : headers) {
    names += header.name + " ";
  }
  return names;
}

TEST(HeaderRules, OnlyEndToEndHeadersWithoutForgeriesPass) {
  std::vector<HttpHeader> request = {
      {"Accept", "x"},
      {"AUTHORIZATION", "Bearer x"},
      {"Connection", "close, X-Hop ,"},
      {"x-hop", "x"},
      {"Host", "x"},
      {"Transfer-Encoding", "x"},
      {"Shedlever-Deadline", "1"},
      {"Content-Length", "1"},
      {"Idempotency-Key", "x"},
      {"X-Answer-Bytes", "1"},
      {"Expect", "100-continue"},
      {"Upgrade", "x"},
  };
  filterRequestHeaders(request);
  EXPECT_EQ(namesOf(request), "Accept Idempotency-Key X-Answer-Bytes ");

  std::vector<HttpHeader> response = {
      {"Content-Type", "x"}, {"Keep-Alive", "x"}, {"SHEDLEVER-Outcome", "not-run"},
      {"Connection", "x-a"}, {"X-A", "x"},        {"Trailer", "x"},
      {"Set-Cookie", "a"},   {"Set-Cookie", "b"},
  };
  filterResponseHeaders(response);
  EXPECT_EQ(namesOf(response), "Content-Type Set-Cookie Set-Cookie ");
}

}  // namespace
}  // namespace shedlever
