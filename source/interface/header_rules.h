#pragma once

/// @file
/// Filters the HTTP headers that a gateway forwards. Hop-by-hop headers (RFC 9110 section 7.6.1) apply to one
/// connection only; the product's own headers are never forwarded.

#include <string_view>
#include <vector>

#include "shedlever/http_messages.h"

namespace shedlever {

/// Number of occurrences of a header, and its first value.
struct HeaderLookup {
  std::uint32_t count = 0;
  /// View into the searched headers; valid as long as they are.
  std::string_view value;
};

/// @param name compared without regard to case.
HeaderLookup lookUpHeader(const std::vector<HttpHeader>& headers, std::string_view name);

/// Removes headers that must not reach the server: hop-by-hop headers, `Authorization`, `Host` and the product's own
/// headers. Headers that only the router may set are replaced by `ServerProtocol::setRouterHeaders`, so clients cannot
/// forge them.
void filterRequestHeaders(std::vector<HttpHeader>& headers);

/// Removes headers that must not reach the client: hop-by-hop headers and all that begin with `Shedlever-`, so servers
/// cannot forge an outcome.
void filterResponseHeaders(std::vector<HttpHeader>& headers);

}  // namespace shedlever
