/// @file
/// API keys on the platform: tenants in the configuration, keys in requests, and what servers and clients get.

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "platform/client_protocol.h"
#include "platform/config_protocol.h"
#include "platform/server_protocol.h"
#include "source/core/router/routes/route_table.h"
#include "source/net/http_headers.h"

namespace shedlever::platform::test {
namespace {

using nlohmann::json;

json validDocument() {
  return json::parse(R"({"version":"0c","routes":[
    {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"idempotent","service":"s1","authExempt":false},
    {"name":"r2","host":"a.example","pathPrefix":"/y/","kind":"idempotent","service":"s1","authExempt":true}],
    "services":[{"name":"s1"}],
    "tenants":[{"name":"t1","apiKeys":["key-1","key-2"],"priority":1,"ratePerS":128,"burst":64},
               {"name":"t2","apiKeys":["key-3"]}]})");
}

std::optional<RouterConfig> decode(const json& document) {
  const ConfigProtocolImpl protocol;
  const ObjectsByName parts = {{kConfigObjectName, {kConfigObjectName, 1, document.dump()}}};
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<RouterConfig>> {
        BOOST_LEAF_AUTO(config, protocol.decode(parts));
        return std::optional<RouterConfig>(std::move(config));
      },
      [] { return std::optional<RouterConfig>(); });
}

class ApiKeysTest : public ::testing::Test {
 protected:
  ClientRequestInfo read(const std::string& target, std::vector<HttpHeader> headers) const {
    const HttpRequest request{"GET", target, std::move(headers), {}};
    return protocol_.readRequestInfo(request, *routes_.find("a.example", target), nullptr, routes_.tenantKeys());
  }

  ClientProtocolImpl protocol_;
  RouteTable routes_{decode(validDocument()).value_or(RouterConfig{})};
};

TEST_F(ApiKeysTest, RequestWithAKeyGetsItsTenant) {
  const ClientRequestInfo info = read("/x/1", {{"Authorization", "Bearer key-2"}, {"X-Tenant-Id", "t2"}});
  EXPECT_EQ(info.refusal, Reason::None);
  EXPECT_EQ(info.tenant.name.value, "t1");
  EXPECT_EQ(info.priority, 1U);
  EXPECT_EQ(info.tenant.weight, 128U);
  EXPECT_FALSE(read("/x/1", {{"Authorization", "Bearer key-3"}}).priority);
}

// Guards against requests being served without a valid API key.
TEST_F(ApiKeysTest, RequestWithoutAValidKeyIsUnauthenticated) {
  const std::vector<std::vector<HttpHeader>> rows = {
      {},
      {{"Authorization", ""}},
      {{"Authorization", "Bearer "}},
      {{"Authorization", "Bearer other"}},
      {{"Authorization", "Basic key-1"}},
      {{"Authorization", "key-1"}},
      {{"Authorization", "Bearer key-1\t"}},
      {{"Authorization", "Bearer key-1"}, {"authorization", "Bearer key-1"}},
      {{"X-Tenant-Id", "t1"}}};
  for (const auto& headers : rows) {
    EXPECT_EQ(read("/x/1", headers).refusal, Reason::Unauthenticated) << (headers.empty() ? "" : headers[0].value);
  }
  const HttpResponse response =
      protocol_.makeRefusalResponse({RequestId("r"), Outcome::NotRun, Reason::Unauthenticated});
  EXPECT_EQ(response.status, 401);
  EXPECT_EQ(headerValue(response.headers, "WWW-Authenticate"), "Bearer");
}

TEST_F(ApiKeysTest, ExemptRouteNeedsNoKeyButTakesAValidOne) {
  EXPECT_EQ(read("/y/1", {}).refusal, Reason::None);
  EXPECT_EQ(read("/y/1", {{"Authorization", "Bearer other"}}).refusal, Reason::None);
  EXPECT_EQ(read("/y/1", {{"Authorization", "Bearer key-1"}}).tenant.name.value, "t1");
}

// Guards against API keys and forged tenants reaching a server.
TEST_F(ApiKeysTest, ServerGetsTheTenantsNameAndNoKey) {
  HttpRequest request{
      "GET", "/x/1", {{"authorization", "Bearer key-1"}, {"X-Tenant-Id", "a"}, {"x-tenant-id", "b"}, {"A", "b"}}, {}};
  protocol_.removeRouterHeaders(request, routes_.tenantKeys());
  ASSERT_EQ(request.headers.size(), 1U);
  const ServerProtocolImpl servers;
  servers.setRouterHeaders(request, {RequestId("r"), InstanceId("i"), std::chrono::seconds(1), ServiceName("c"),
                                     std::nullopt, TenantName("t1")});
  EXPECT_EQ(headerValue(request.headers, "X-Tenant-Id"), "t1");
  EXPECT_EQ(findHeader(request.headers, "Authorization"), nullptr);
}

TEST_F(ApiKeysTest, HeadersAreForwardedWhereRequestsNeedNoKey) {
  HttpRequest request{"GET", "/x/1", {{"Authorization", "Bearer key-1"}}, {}};
  protocol_.removeRouterHeaders(request, nullptr);
  EXPECT_EQ(request.headers.size(), 1U);
}

// Guards against a configuration without tenants, or with a list that can't be read, opening all routes.
TEST(ApiKeysConfigTest, EmptyListOfTenantsAcceptsNoKeyAndAnInvalidOneIsRefused) {
  json document = validDocument();
  document["tenants"] = json::array();
  const auto empty = decode(document);
  ASSERT_TRUE(empty && empty->tenants);
  EXPECT_TRUE(empty->tenants->empty());
  document["tenants"] = "odd";
  EXPECT_FALSE(decode(document));
  document.erase("tenants");
  const auto none = decode(document);
  ASSERT_TRUE(none);
  EXPECT_FALSE(none->tenants);
}

TEST(ApiKeysConfigTest, InvalidValueOfATenantIsLeftOutAlone) {
  for (const json& value : std::vector<json>{"odd", -7, 1.5, true, json::array({1}), json::object({{"k", "v"}})}) {
    for (const char* field : {"name", "apiKeys", "priority", "ratePerS", "burst"}) {
      json document = validDocument();
      document["tenants"][0][field] = value;
      const auto config = decode(document);
      ASSERT_TRUE(config && config->tenants) << field << value;
      ASSERT_EQ(config->tenants->size(), 2U);
      EXPECT_EQ((*config->tenants)[1].api_keys.size(), 1U);
      EXPECT_EQ(config->routes[0].shares.size(), 1U);
    }
  }
  json document = validDocument();
  document["tenants"][0]["priority"] = "first";
  EXPECT_FALSE((*decode(document)->tenants)[0].priority);
  document["tenants"][0].erase("name");
  EXPECT_TRUE((*decode(document)->tenants)[0].api_keys.empty());
  document["routes"][0]["authExempt"] = "yes";
  EXPECT_FALSE(decode(document)->routes[0].auth_exempt);
}

}  // namespace
}  // namespace shedlever::platform::test
