/// @file
/// The product's own client interface: reading requests, refusals, and the headers that servers receive.

#include "source/interface/shedlever_client_protocol.h"

#include <gtest/gtest.h>

#include "source/core/settings/settings_routes.h"
#include "source/interface/request_target.h"
#include "source/interface/settings_config_protocol.h"
#include "source/net/http_headers.h"

namespace shedlever {
namespace {

using std::chrono::milliseconds;

/// The tenant's credential is "alpha"; the document contains its SHA-256.
const char* const kDocument = R"({"path_prefix":"/a/","divided_by_key":true,"once_only":true,"default_deadline_ms":700,
  "longest_deadline_ms":9000,"target_latency_ms":300,"priority":2,"body_limit":10,
  "backends":{"node-1":{"slots":3}},"retry":{"attempts":2},
  "tenants":[{"name":"t","weight":3,"queue_limit":5,
              "credential_sha256":"8ed3f6ad685b959ead7022518e1af76cd816f8e8ec7ccdda1ed4018e8f2223f8"}]})";

RouterConfig configOf(const ObjectsByName& parts) {
  const SettingsConfigProtocol protocol;
  return leaf::try_handle_all([&] { return protocol.decode(parts); }, [] { return RouterConfig(); });
}

class ShedleverInterfaceTest : public ::testing::Test {
 protected:
  ClientRequestInfo read(const HttpRequest& request) const {
    return protocol_.readRequestInfo(request, config_.routes.at(0), &config_.services.at(ServiceName("s")), nullptr);
  }

  ShedleverClientProtocol protocol_;
  RouterConfig config_ =
      configOf({{"services.s", {"services.s", 7, kDocument}}, {"deployment", {"deployment", 4, "{}"}}});
};

TEST_F(ShedleverInterfaceTest, DocumentsAreDecodedIntoRoutes) {
  EXPECT_EQ(config_.version, 7U);
  const Route& route = config_.routes.at(0);
  EXPECT_EQ(route.path_prefix, "/a/");
  EXPECT_EQ(route.kind, RouteKind::AtMostOnce);
  EXPECT_TRUE(route.needs_idempotency_key);
  EXPECT_EQ(route.timeout, milliseconds(9000));
  EXPECT_EQ(route.target_latency, milliseconds(300));
  EXPECT_EQ(route.max_attempts, 2U);
  EXPECT_EQ(route.priority, 2U);
  const RoutedService& service = config_.services.at(ServiceName("s"));
  EXPECT_TRUE(service.divided_by_key);
  EXPECT_EQ(service.settings->backend_overrides.at(NodeName("node-1")).slots, 3U);
}

TEST_F(ShedleverInterfaceTest, DocumentsWithFindingsAreRejected) {
  const SettingsConfigProtocol protocol;
  const ObjectsByName parts = {{"services.s", {"services.s", 1, R"({"path_prefix":"a"})"}}};
  const bool decoded = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(protocol.decode(parts));
        return true;
      },
      [](const Findings& findings) {
        EXPECT_EQ(findings.list.at(0).location, "services/s#/path_prefix");
        return false;
      },
      [] { return true; });
  EXPECT_FALSE(decoded);
  EXPECT_FALSE(protocol.isConfigObject("history.s"));
  EXPECT_TRUE(protocol.isConfigObject("deployment"));
}

TEST_F(ShedleverInterfaceTest, ReadsTenantKeyAndDeadline) {
  const ClientRequestInfo info =
      read({"POST",
            "/a/key-1/rest?x=1",
            {{"Authorization", "Bearer alpha"}, {"Idempotency-Key", "once"}, {"Shedlever-Deadline", "250"}},
            "body"});
  EXPECT_EQ(info.refusal, Reason::None);
  EXPECT_EQ(info.tenant.name.value, "t");
  EXPECT_EQ(info.tenant.weight, 3U);
  EXPECT_EQ(info.tenant.queue_limit, 5U);
  EXPECT_EQ(info.key, keyFromText("key-1"));
  EXPECT_EQ(info.time_left, milliseconds(250));
  EXPECT_EQ(info.idempotency_key.value, "once");
}

struct RefusalRow {
  const char* name;
  HttpRequest request;
  Reason reason;
};

TEST_F(ShedleverInterfaceTest, RefusesInvalidRequestsWithReason) {
  const HttpHeader credential{"Authorization", "Bearer alpha"};
  const HttpHeader once{"Idempotency-Key", "k"};
  const std::vector<RefusalRow> rows = {
      {"valid", {"POST", "/a/k", {credential, once}, {}}, Reason::None},
      {"no credential", {"POST", "/a/k", {once}, {}}, Reason::Unauthenticated},
      {"credential of no tenant",
       {"POST", "/a/k", {{"Authorization", "Bearer beta"}, once}, {}},
       Reason::Unauthenticated},
      {"no idempotency key", {"POST", "/a/k", {credential}, {}}, Reason::MissingIdempotencyKey},
      {"two idempotency keys", {"POST", "/a/k", {credential, once, once}, {}}, Reason::BadRequest},
      {"no key", {"POST", "/a/", {credential, once}, {}}, Reason::BadRequest},
      {"deadline is not a number",
       {"POST", "/a/k", {credential, once, {"Shedlever-Deadline", "1s"}}, {}},
       Reason::BadRequest},
      {"path that leaves its prefix", {"POST", "/a/../grant", {credential, once}, {}}, Reason::BadRequest},
      {"large body", {"POST", "/a/k", {credential, once}, "12345678901"}, Reason::TooLarge}};
  for (const RefusalRow& row : rows) {
    EXPECT_EQ(read(row.request).refusal, row.reason) << row.name;
  }
}

TEST_F(ShedleverInterfaceTest, CredentialIsNotForwardedToServers) {
  HttpRequest request{"POST",
                      "/a/k",
                      {{"Authorization", "Bearer alpha"}, {"Shedlever-Deadline", "1"}, {"Accept", "x"}, {"Host", "h"}},
                      {}};
  protocol_.removeRouterHeaders(request, nullptr);
  ASSERT_EQ(request.headers.size(), 1U);
  EXPECT_EQ(request.headers.at(0).name, "Accept");
}

TEST_F(ShedleverInterfaceTest, UnsentRequestOnBrokenConnectionGets503) {
  const HttpResponse response =
      protocol_.makeRefusalResponse({RequestId("r"), Outcome::NotRun, Reason::ConnectionLost, {}});
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(headerValue(response.headers, "Shedlever-Outcome"), "not-run");
}

}  // namespace
}  // namespace shedlever
