#pragma once

/// @file
/// Converts endpoints to and from text: "IP:PORT" or "[IPv6]:PORT". Host names are not supported.

#include <optional>
#include <string>
#include <string_view>

#include "shedlever/identifiers.h"

namespace shedlever {

/// @return the endpoint; nothing unless the text is an IP address and a port from 0 to 65535.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// @return the text that `parseEndpoint` parses, with IPv6 addresses in brackets.
std::string endpointText(const Endpoint& endpoint);

/// @return whether the address means all addresses of the host and so is of no use to a peer.
bool isWildcard(const Endpoint& endpoint);

}  // namespace shedlever
