#pragma once

/// @file
/// The product's own client interface, see docs/PROTOCOLS.md: the bearer credential identifies the tenant, the path or
/// a header contains the key, and every response states the outcome of the request.

#include "shedlever/platform_ports.h"

namespace shedlever {

class ShedleverClientProtocol final : public ClientProtocol {
 public:
  /// Always empty: the router assigns request ids.
  RequestId requestIdOf(const HttpRequest&) const override { return {}; }
  ClientRequestInfo readRequestInfo(const HttpRequest& request, const Route& route, const RoutedService* service,
                                    const TenantKeys* tenants) const override;
  void removeRouterHeaders(HttpRequest& request, const TenantKeys* tenants) const override;
  HttpResponse makeRefusalResponse(const Refusal& refusal) const override;
  void finalizeResponse(HttpResponse& response, const RequestId& id) const override;
};

}  // namespace shedlever
