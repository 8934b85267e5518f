#pragma once

/// @file
/// The platform's protocols, extended by the idempotency keys that only the product's own interface has.

#include "platform/client_protocol.h"
#include "platform/config_protocol.h"
#include "source/net/http_headers.h"

namespace shedlever::test {

inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";

/// Reads the idempotency key of a request from a header.
class IdempotencyKeyClientProtocol final : public ClientProtocol {
 public:
  RequestId requestIdOf(const HttpRequest& request) const override { return platform_.requestIdOf(request); }

  ClientRequestInfo readRequestInfo(const HttpRequest& request, const Route& route, const RoutedService* service,
                                    const TenantKeys* tenants) const override {
    ClientRequestInfo info = platform_.readRequestInfo(request, route, service, tenants);
    info.idempotency_key = IdempotencyKey(std::string(headerValue(request.headers, kIdempotencyKeyHeader)));
    return info;
  }

  void removeRouterHeaders(HttpRequest& request, const TenantKeys* tenants) const override {
    platform_.removeRouterHeaders(request, tenants);
  }

  HttpResponse makeRefusalResponse(const Refusal& refusal) const override {
    return platform_.makeRefusalResponse(refusal);
  }

  void finalizeResponse(HttpResponse& answer, const RequestId& id) const override {
    platform_.finalizeResponse(answer, id);
  }

 private:
  platform::ClientProtocolImpl platform_;
};

/// Requires an idempotency key for each request that must run at most once.
class IdempotencyKeyConfigProtocol final : public ConfigProtocol {
 public:
  std::string kind() const override { return platform_.kind(); }
  bool isConfigObject(const std::string& name) const override { return platform_.isConfigObject(name); }
  std::string evacuationKind() const override { return platform_.evacuationKind(); }
  bool hasOperatorVersions() const override { return platform_.hasOperatorVersions(); }

  leaf::result<RouterConfig> decode(const ObjectsByName& parts) const override {
    BOOST_LEAF_AUTO(config, platform_.decode(parts));
    for (Route& route : config.routes) {
      route.needs_idempotency_key = route.kind == RouteKind::AtMostOnce;
    }
    return config;
  }

 private:
  platform::ConfigProtocolImpl platform_;
};

}  // namespace shedlever::test
