/// @file
/// When two requests count as the same one asked again.

#include "source/core/router/quarantine/fingerprint.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

const ServiceName kCaller("shop");

HttpRequest request() { return {"POST", "/read/x?y=1", {{"Host", "h"}, {"X-Request-Id", "r1"}}, "body"}; }

TEST(FingerprintTest, IdDeadlineAndKeyDontCount) {
  HttpRequest repeat = request();
  repeat.headers = {{"X-Request-Id", "r2"}, {"X-Request-Deadline", "5"}, {"X-Shard-Key", "7"}, {"host", "h"}};
  EXPECT_EQ(fingerprintOf(kCaller, repeat), fingerprintOf(kCaller, request()));
}

TEST(FingerprintTest, CallerMethodHostTargetAndBodyCount) {
  std::vector<RequestFingerprint> all = {fingerprintOf(kCaller, request()),
                                         fingerprintOf(ServiceName("other"), request())};
  const auto change = [&all](const std::function<void(HttpRequest&)>& edit) {
    HttpRequest changed = request();
    edit(changed);
    all.push_back(fingerprintOf(kCaller, changed));
  };
  change([](HttpRequest& changed) { changed.method = "PUT"; });
  change([](HttpRequest& changed) { changed.headers[0].value = "g"; });
  change([](HttpRequest& changed) { changed.target = "/read/x"; });
  change([](HttpRequest& changed) { changed.body = "bod"; });
  change([](HttpRequest& changed) { changed.body.clear(); });
  std::sort(all.begin(), all.end());
  EXPECT_EQ(std::unique(all.begin(), all.end()), all.end());
}

// A caller's name and a method of its choice must not add up to another caller's request.
TEST(FingerprintTest, PartsDontRunTogether) {
  HttpRequest joined = request();
  joined.method = "pPOST";
  EXPECT_NE(fingerprintOf(ServiceName("sho"), joined), fingerprintOf(kCaller, request()));
}

TEST(FingerprintTest, TextHasAllDigits) {
  EXPECT_EQ(toString(RequestFingerprint{0x0123456789abcdef, 0xf}), "0123456789abcdef000000000000000f");
}

}  // namespace
}  // namespace shedlever::test
