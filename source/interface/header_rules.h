#pragma once

/// @file
/// Which HTTP headers pass a gateway. Hop-by-hop headers (RFC 9110 section 7.6.1) belong to one
/// connection; the product's own headers are never taken from the other side.

#include <string_view>
#include <vector>

#include "shedlever/http_messages.h"

namespace shedlever {

/// How often a header occurs, and its first value.
struct HeaderLookup {
  std::uint32_t count = 0;
  /// Points into the headers searched.
  std::string_view value;
};

/// @param name in any case.
HeaderLookup lookUpHeader(const std::vector<HttpHeader>& headers, std::string_view name);

/// Drops what must not reach the server: hop-by-hop headers, the credential, and the product's own headers. Those that
/// only the router may set towards servers are replaced by `ServerProtocol::setRouterHeaders`, so that no client can
/// forge them.
void filterRequestHeaders(std::vector<HttpHeader>& headers);

/// Drops what must not reach the caller: hop-by-hop headers and anything that begins with `Shedlever-`,
/// so that no server can forge an outcome.
void filterResponseHeaders(std::vector<HttpHeader>& headers);

}  // namespace shedlever
