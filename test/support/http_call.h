#pragma once

/// @file
/// HTTP calls that run the event loop until the response arrives.

#include <optional>
#include <string>

#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"

namespace shedlever::test {

/// @return the complete response; nothing if none arrived within the timeout.
std::optional<HttpResponse> httpCall(EventLoop& loop, const Endpoint& to, const HttpRequest& request, Duration timeout);

/// @param target path and query.
/// @return the complete response; nothing if none arrived within the timeout.
std::optional<HttpResponse> httpCall(EventLoop& loop, const Endpoint& to, const std::string& method,
                                     const std::string& target, const std::string& body, Duration timeout);

}  // namespace shedlever::test
