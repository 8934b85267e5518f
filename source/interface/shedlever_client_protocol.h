#pragma once

/// @file
/// The product's own client interface, see docs/PROTOCOLS.md: the bearer credential identifies the tenant, the path or
/// a header contains the key, and every response states the outcome of the request.

#include "shedlever/platform_ports.h"

namespace shedlever {

class ShedleverClientProtocol final : public ClientProtocol {
 public:
  /// Always empty: the router assigns request ids.
  RequestId idOf(const HttpRequest&) const override { return {}; }
  ClientRequestInfo read(const HttpRequest& request, const Route& route, const RoutedService* service) const override;
  void strip(HttpRequest& request) const override;
  HttpResponse refusal(const Refusal& refusal) const override;
  void complete(HttpResponse& response, const RequestId& id) const override;
};

}  // namespace shedlever
