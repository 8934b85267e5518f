#pragma once

/// @file
/// Checks of a client's request target and limits, and the request's key.

#include <optional>
#include <string>
#include <string_view>

#include "shedlever/http_messages.h"
#include "shedlever/outcome.h"
#include "shedlever/router_frames.h"
#include "shedlever/settings.h"

namespace shedlever {

/// @return the text with each `%XX` replaced by the byte; nothing if an escape is malformed.
std::optional<std::string> percentDecoded(std::string_view text);

/// @return false if the target contains spaces or control bytes, does not begin with a slash, has a malformed escape in
/// its path, or has a path segment "." or ".." (also percent-encoded), which could reach the server's control
/// endpoints.
bool isSafeTarget(std::string_view target);

/// @return position in the key space of a key given as text: the upper 16 bits of its hash.
Key keyFromText(std::string_view text);

/// @return the request's key; nothing if it is missing, empty, malformed or ambiguous.
std::optional<Key> requestKey(const ServiceSettings& settings, const HttpRequest& request);

/// @return TooLarge if the body or the headers (including method and target) exceed the service's limits, else None.
Reason checkLimits(const ServiceSettings& settings, const HttpRequest& request);

}  // namespace shedlever
