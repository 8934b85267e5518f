/// @file
/// Requests that a process without API keys forwards to one that has them.

#include "source/router/forward_authentication.h"

#include <gtest/gtest.h>

#include "platform/client_protocol.h"
#include "source/net/http_headers.h"

namespace shedlever::test {
namespace {

class ForwardAuthenticationTest : public ::testing::Test {
 protected:
  static RouterConfig config(bool with_tenants) {
    RouterConfig config;
    for (const bool exempt : {false, true}) {
      Route route;
      route.path_prefix = exempt ? "/open/" : "/closed/";
      route.shares = {{ServiceName("s"), 1}};
      route.auth_exempt = exempt;
      config.routes.push_back(route);
    }
    if (with_tenants) {
      Tenant tenant;
      tenant.name = TenantName("a");
      tenant.api_keys = {digestOfApiKey("key")};
      tenant.priority = 1;
      config.tenants = {tenant};
    }
    return config;
  }

  static ForwardFrame frame(const std::string& target, std::vector<HttpHeader> headers) {
    ForwardFrame made;
    made.priority = 5;
    made.http = {"GET", target, std::move(headers), {}};
    return made;
  }

  bool authenticate(ForwardFrame& frame) const { return authenticateForwarded(frame, routes_, protocol_); }

  platform::ClientProtocolImpl protocol_;
  RouteTable routes_{config(true)};
};

// Guards against a peer of an earlier build passing API keys and forged tenants on to servers.
TEST_F(ForwardAuthenticationTest, UncheckedRequestWithAValidKeyGetsItsTenant) {
  ForwardFrame request = frame("/closed/x", {{"Authorization", "Bearer key"}, {"X-Tenant-Id", "forged"}, {"A", "b"}});
  ASSERT_TRUE(authenticate(request));
  EXPECT_EQ(request.tenant.name.value, "a");
  EXPECT_EQ(request.priority, 1U);
  ASSERT_EQ(request.http.headers.size(), 1U);
  EXPECT_EQ(request.http.headers[0].name, "A");
}

TEST_F(ForwardAuthenticationTest, UncheckedRequestWithoutAValidKeyMayNotRun) {
  ForwardFrame without = frame("/closed/x", {});
  ForwardFrame unknown = frame("/closed/x", {{"Authorization", "Bearer other"}});
  EXPECT_FALSE(authenticate(without));
  EXPECT_FALSE(authenticate(unknown));
}

TEST_F(ForwardAuthenticationTest, RequestsOfExemptRoutesRunWithoutTheirKey) {
  ForwardFrame request = frame("/open/x", {{"Authorization", "Bearer other"}, {"X-Tenant-Id", "forged"}});
  EXPECT_TRUE(authenticate(request));
  EXPECT_TRUE(request.http.headers.empty());
  EXPECT_TRUE(request.tenant.name.empty());
}

// Guards against a request without a valid key running because the route that requires one is not known here yet.
TEST_F(ForwardAuthenticationTest, UncheckedRequestOfAnUnknownRouteMayNotRun) {
  ForwardFrame without = frame("/later/x", {});
  ForwardFrame with_key = frame("/later/x", {{"Authorization", "Bearer key"}});
  EXPECT_FALSE(authenticate(without));
  EXPECT_FALSE(authenticate(with_key));
}

TEST_F(ForwardAuthenticationTest, TenantThatTheSenderFoundIsKept) {
  ForwardFrame request = frame("/closed/x", {});
  request.tenant.name = TenantName("b");
  EXPECT_TRUE(authenticate(request));
  EXPECT_EQ(request.tenant.name.value, "b");
}

TEST_F(ForwardAuthenticationTest, RequestIsUnchangedWhileTheConfigurationHasNoTenants) {
  const RouteTable without_tenants(config(false));
  ForwardFrame request = frame("/closed/x", {{"Authorization", "Bearer other"}});
  EXPECT_TRUE(authenticateForwarded(request, without_tenants, protocol_));
  EXPECT_EQ(request.http.headers.size(), 1U);
}

}  // namespace
}  // namespace shedlever::test
