#pragma once

/// @file
/// What the stand-ins' programs share: reading places, announcing the port, ending on SIGTERM.

#include <optional>
#include <string>

#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"

namespace shedlever::standins {

/// @param text "IP:PORT".
/// @return nothing when it is none.
std::optional<Endpoint> parseEndpoint(const std::string& text);

/// Prints "listening port=N", then runs the loop until SIGTERM or SIGINT.
void runUntilSignalled(EventLoop& loop, const Endpoint& listening);

}  // namespace shedlever::standins
