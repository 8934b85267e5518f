#include "source/router/forward_authentication.h"

#include "source/net/http_headers.h"

namespace shedlever {

bool authenticateForwarded(ForwardFrame& frame, const RouteTable& routes, const ClientProtocol& protocol) {
  const TenantKeys* tenants = routes.tenantKeys();
  const bool checked_by_sender = !frame.tenant.name.empty();
  if (tenants == nullptr || checked_by_sender) {
    return true;
  }
  const Route* route = routes.find(headerValue(frame.http.headers, "host"), frame.http.target);
  if (route == nullptr) {
    // The route may need an API key.
    return false;
  }
  const ClientRequestInfo info = protocol.readRequestInfo(frame.http, *route, nullptr, tenants);
  if (info.refusal != Reason::None) {
    return false;
  }
  frame.tenant = info.tenant;
  frame.priority = info.priority.value_or(frame.priority);
  protocol.removeRouterHeaders(frame.http, tenants);
  return true;
}

}  // namespace shedlever
