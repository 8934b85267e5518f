#pragma once

/// @file
/// Waits, with a time limit, for conditions outside the event loop.

#include <functional>

#include "source/net/event_loop.h"

namespace shedlever::test {

/// Runs the loop until `condition` holds or the time limit has passed; `condition` is polled every few milliseconds and
/// may run the loop itself.
/// @return whether the condition held.
bool waitFor(EventLoop& loop, const std::function<bool()>& condition, Duration limit);

/// Runs the loop for the duration.
void runFor(EventLoop& loop, Duration duration);

}  // namespace shedlever::test
