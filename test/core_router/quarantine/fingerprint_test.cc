/// @file
/// Which requests count as repeats of the same request.

#include "source/core/router/quarantine/fingerprint.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

HttpRequest request() { return {"POST", "/read/x?y=1", {{"Host", "h"}, {"X-Request-Id", "r1"}}, "body"}; }

TEST(FingerprintTest, IdDeadlineAndKeyAreIgnored) {
  HttpRequest repeat = request();
  repeat.headers = {{"X-Request-Id", "r2"}, {"X-Request-Deadline", "5"}, {"X-Shard-Key", "7"}, {"host", "h"}};
  EXPECT_EQ(fingerprintOf(repeat), fingerprintOf(request()));
}

// Client headers that change with each repeat, such as traces or attempt counters, and the calling service must not
// hide a repeat.
TEST(FingerprintTest, HeadersThatDifferBetweenRepeatsAreIgnored) {
  HttpRequest repeat = request();
  repeat.headers.push_back({"X-Try", "2"});
  repeat.headers.push_back({"Traceparent", "00-1-2-01"});
  repeat.headers.push_back({"X-Caller-Service", "orders"});
  EXPECT_EQ(fingerprintOf(repeat), fingerprintOf(request()));
}

// The query determines the server's work. If it were ignored, one fatal query would quarantine all requests of its
// path.
TEST(FingerprintTest, DifferentQueriesGiveDifferentFingerprints) {
  HttpRequest other = request();
  other.target = "/read/x?y=2";
  EXPECT_NE(fingerprintOf(other), fingerprintOf(request()));
}

TEST(FingerprintTest, MethodHostTargetAndBodyAreIncluded) {
  std::vector<RequestFingerprint> all = {fingerprintOf(request())};
  const auto change = [&all](const std::function<void(HttpRequest&)>& edit) {
    HttpRequest changed = request();
    edit(changed);
    all.push_back(fingerprintOf(changed));
  };
  change([](HttpRequest& changed) { changed.method = "PUT"; });
  change([](HttpRequest& changed) { changed.headers[0].value = "g"; });
  change([](HttpRequest& changed) { changed.target = "/read/x"; });
  change([](HttpRequest& changed) { changed.body = "bod"; });
  change([](HttpRequest& changed) { changed.body.clear(); });
  std::sort(all.begin(), all.end());
  EXPECT_EQ(std::unique(all.begin(), all.end()), all.end());
}

// A client-chosen method must not be able to imitate a request with another method and host.
TEST(FingerprintTest, PartsAreNotConcatenatedAmbiguously) {
  HttpRequest joined = request();
  joined.method = "POSTh";
  joined.headers[0].value = "";
  EXPECT_NE(fingerprintOf(joined), fingerprintOf(request()));
}

TEST(FingerprintTest, TextHasAllDigits) {
  EXPECT_EQ(toString(RequestFingerprint{0x0123456789abcdef, 0xf}), "0123456789abcdef000000000000000f");
}

}  // namespace
}  // namespace shedlever::test
