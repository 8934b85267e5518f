#pragma once

/// @file
/// Allocates loopback ports for processes that may be restarted on the same port.

#include <memory>
#include <random>
#include <set>

#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"
#include "source/net/tcp_listener.h"

namespace shedlever::soak {

/// Allocates each port at most once, whether or not a process listens on it yet. Concurrent allocators, in one process
/// or in several, use different ports: each reserves a block of ports for its lifetime by listening on the block's
/// first port.
class LoopbackPorts {
 public:
  /// @param loop must outlive the allocator.
  /// @throws std::runtime_error if all blocks are in use.
  LoopbackPorts(EventLoop& loop, std::uint64_t seed);

  /// @return an endpoint on which no process listened when it was allocated.
  Endpoint next();

 private:
  /// @return a listener on the port; null if the port is in use.
  std::unique_ptr<TcpListener> listenAt(std::uint16_t port);

  EventLoop& loop_;
  std::mt19937_64 random_;
  /// Reserves the block.
  std::unique_ptr<TcpListener> block_reservation_;
  std::uint16_t block_start_;
  std::set<std::uint16_t> allocated_;
};

}  // namespace shedlever::soak
