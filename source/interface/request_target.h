#pragma once

/// @file
/// A client's target: whether it is safe to pass on, the key in it, and the service's limits.

#include <optional>
#include <string>
#include <string_view>

#include "shedlever/http_messages.h"
#include "shedlever/outcome.h"
#include "shedlever/router_frames.h"
#include "shedlever/settings.h"

namespace shedlever {

/// @return the text with each `%XX` replaced by its byte; nothing if one is malformed.
std::optional<std::string> percentDecoded(std::string_view text);

/// A target is refused when it holds blanks or control bytes, does not begin with a slash, or has a path
/// segment "." or ".." (also when percent-encoded): such a path could reach the server's own control calls.
bool isSafeTarget(std::string_view target);

/// @return where a key given as text lies among a service's keys.
Key keyFromText(std::string_view text);

/// @return the request's key; nothing when it is missing, empty, malformed or ambiguous.
std::optional<Key> requestKey(const ServiceSettings& settings, const HttpRequest& request);

/// @return TooLarge when body or headers (target included) exceed the service's limits; None otherwise.
Reason checkLimits(const ServiceSettings& settings, const HttpRequest& request);

}  // namespace shedlever
