#pragma once

/// @file
/// Ports on loopback for processes that may be restarted on them.

#include <random>
#include <set>

#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"

namespace shedlever::soak {

/// Gives no port twice, whether or not a process listens there yet.
class LoopbackPorts {
 public:
  /// @param loop outlives the ports.
  LoopbackPorts(EventLoop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}

  /// @return an endpoint that nobody listened at a moment ago.
  Endpoint next();

 private:
  EventLoop& loop_;
  std::mt19937_64 random_;
  std::set<std::uint16_t> given_;
};

}  // namespace shedlever::soak
