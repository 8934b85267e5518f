#pragma once

/// @file
/// Lookup and comparison of HTTP headers by name.

#include <string_view>
#include <vector>

#include "shedlever/http_messages.h"

namespace shedlever {

/// @return whether two header names are equal, ignoring case.
bool sameHeaderName(std::string_view left, std::string_view right);

/// @return the first header with the name; null when there is none.
const HttpHeader* findHeader(const std::vector<HttpHeader>& headers, std::string_view name);

/// @return the value of the first header with the name; empty when there is none.
std::string_view headerValue(const std::vector<HttpHeader>& headers, std::string_view name);

/// @return whether the header frames a message or is specific to one connection, and so must not be forwarded:
///   Connection, Content-Length, Keep-Alive, Proxy-Connection, Transfer-Encoding, TE, Trailer, Upgrade.
bool isFramingHeader(std::string_view name);

}  // namespace shedlever
