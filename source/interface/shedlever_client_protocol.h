#pragma once

/// @file
/// The product's own interface towards clients, see docs/PROTOCOLS.md: bearer credentials name the tenant, the path or
/// a header holds the key, and every answer tells what became of the request.

#include "shedlever/platform_ports.h"

namespace shedlever {

class ShedleverClientProtocol final : public ClientProtocol {
 public:
  /// Ids are given by the router.
  RequestId requestIdOf(const HttpRequest&) const override { return {}; }
  ClientRequestInfo readRequestInfo(const HttpRequest& request, const Route& route,
                                    const RoutedService* service) const override;
  void removeRouterHeaders(HttpRequest& request) const override;
  HttpResponse makeRefusalResponse(const Refusal& refusal) const override;
  void finalizeResponse(HttpResponse& answer, const RequestId& id) const override;
};

}  // namespace shedlever
