#pragma once

/// @file
/// Header names of HTTP messages.

#include <string_view>
#include <vector>

#include "shedlever/http_messages.h"

namespace shedlever {

/// @return whether two header names are the same; case does not count.
bool sameHeaderName(std::string_view left, std::string_view right);

/// @return the first header of the name; null when there is none.
const HttpHeader* findHeader(const std::vector<HttpHeader>& headers, std::string_view name);

/// @return the value of the first header of the name; empty when there is none.
std::string_view headerValue(const std::vector<HttpHeader>& headers, std::string_view name);

/// @return whether the header frames one message or one connection, so that each sender writes its own:
///   Connection, Content-Length, Keep-Alive, Proxy-Connection, Transfer-Encoding, TE, Trailer, Upgrade.
bool isFramingHeader(std::string_view name);

}  // namespace shedlever
