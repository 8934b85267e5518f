#include "soak/loopback_ports.h"

#include <stdexcept>

namespace shedlever::soak {

namespace {

/// Below the kernel's range for outgoing connections, so that the port of a restarted process is still free.
constexpr std::uint16_t kFirstPort = 15000;
constexpr std::uint16_t kBlockCount = 10;
/// Enough for about two hundred nodes with seven ports each.
constexpr std::uint16_t kPortsPerBlock = 1500;

}  // namespace

LoopbackPorts::LoopbackPorts(EventLoop& loop, std::uint64_t seed) : loop_(loop), random_(seed), block_start_(0) {
  const std::uint64_t start = random_() % kBlockCount;
  for (std::uint64_t i = 0; i < kBlockCount && !block_reservation_; ++i) {
    block_start_ = static_cast<std::uint16_t>(kFirstPort + (start + i) % kBlockCount * kPortsPerBlock);
    block_reservation_ = listenAt(block_start_);
  }
  if (!block_reservation_) {
    throw std::runtime_error("all blocks of loopback ports are in use");
  }
}

std::unique_ptr<TcpListener> LoopbackPorts::listenAt(std::uint16_t port) {
  auto listener = TcpListener::open(loop_, {"127.0.0.1", port}, [](evutil_socket_t, const Endpoint&) {});
  return listener ? std::move(listener.value()) : nullptr;
}

Endpoint LoopbackPorts::next() {
  while (true) {
    const auto port = static_cast<std::uint16_t>(block_start_ + 1 + random_() % (kPortsPerBlock - 1));
    if (allocated_.insert(port).second && listenAt(port)) {
      return {"127.0.0.1", port};
    }
  }
}

}  // namespace shedlever::soak
