#include "soak/loopback_ports.h"

#include "source/net/tcp_listener.h"

namespace shedlever::soak {

namespace {

/// Ports below those that the kernel gives to connecting sockets: a process that is restarted must find its port free.
constexpr std::uint16_t kFirstPort = 15000;
constexpr std::uint16_t kPorts = 15000;

}  // namespace

Endpoint LoopbackPorts::next() {
  while (true) {
    Endpoint endpoint{"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + random_() % kPorts)};
    if (!given_.insert(endpoint.port).second) {
      continue;
    }
    const bool is_free = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(TcpListener::open(loop_, endpoint, [](evutil_socket_t, const Endpoint&) {}));
          return true;
        },
        [] { return false; });
    if (is_free) {
      return endpoint;
    }
  }
}

}  // namespace shedlever::soak
