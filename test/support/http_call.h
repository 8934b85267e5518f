#pragma once

/// @file
/// HTTP calls that wait for their answer while the loop runs on.

#include <optional>
#include <string>

#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"

namespace shedlever::test {

/// @return the whole answer; nothing when there was none in time.
std::optional<HttpResponse> httpCall(EventLoop& loop, const Endpoint& to, const HttpRequest& request, Duration timeout);

/// @param target path and query.
/// @return the whole answer; nothing when there was none in time.
std::optional<HttpResponse> httpCall(EventLoop& loop, const Endpoint& to, const std::string& method,
                                     const std::string& target, const std::string& body, Duration timeout);

}  // namespace shedlever::test
