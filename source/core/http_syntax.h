#pragma once

/// @file
/// Syntax of the parts of an HTTP message (RFC 9110, RFC 9112). A message that breaks it may be understood differently
/// by the next parser, and is never passed on.

#include <optional>
#include <string_view>

#include "shedlever/http_messages.h"

namespace shedlever {

/// @return whether the text is a token, as the name of a header must be.
bool isHttpToken(std::string_view text);

/// @return whether the text has no control characters other than tabs, as the value of a header must not.
bool isHttpText(std::string_view text);

/// @return the status of a status line, from 100 to 599; std::nullopt if the line breaks the syntax of HTTP/1.0 and
///   HTTP/1.1 or has a status of no class that the standard defines.
std::optional<int> parseHttpStatusLine(std::string_view line);

/// @return whether a complete response has a final status, from 200 to 599, and only valid names and values of headers.
bool isValidHttpResponse(const HttpResponse& response);

}  // namespace shedlever
