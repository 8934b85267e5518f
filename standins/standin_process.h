#pragma once

/// @file
/// Shared by the stand-in programs: parses endpoints, prints the port and runs until a signal.

#include <optional>
#include <string>

#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"

namespace shedlever::standins {

/// @param text "IP:PORT".
/// @return the endpoint; nothing if the text is invalid. The address is not checked.
std::optional<Endpoint> parseEndpoint(const std::string& text);

/// Prints "listening port=N", then runs the loop until SIGTERM or SIGINT. Ignores SIGPIPE.
void runUntilSignalled(EventLoop& loop, const Endpoint& listening);

}  // namespace shedlever::standins
