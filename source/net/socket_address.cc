#include "source/net/socket_address.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace shedlever {

namespace {

/// @return the number of bytes that the request reports for the socket; 0 on failure.
std::size_t queuedBytes(evutil_socket_t socket, unsigned long request) {
  int bytes = 0;
  return ioctl(socket, request, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

}  // namespace

std::optional<SocketAddress> toSocketAddress(const Endpoint& endpoint) {
  SocketAddress result;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&result.storage);
  if (inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(endpoint.port);
    result.length = sizeof(sockaddr_in);
    return result;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
  if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(endpoint.port);
    result.length = sizeof(sockaddr_in6);
    return result;
  }
  return std::nullopt;
}

Endpoint toEndpoint(const sockaddr* address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address->sa_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(address);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    return {text.data(), ntohs(v4->sin_port)};
  }
  if (address->sa_family != AF_INET6) {
    return {};
  }
  const auto* v6 = reinterpret_cast<const sockaddr_in6*>(address);
  if (IN6_IS_ADDR_V4MAPPED(&v6->sin6_addr)) {
    constexpr std::size_t kMappedPrefixBytes = 12;
    inet_ntop(AF_INET, v6->sin6_addr.s6_addr + kMappedPrefixBytes, text.data(), text.size());
  } else {
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
  }
  return {text.data(), ntohs(v6->sin6_port)};
}

Endpoint localEndpoint(evutil_socket_t socket) {
  SocketAddress address;
  address.length = sizeof(address.storage);
  if (getsockname(socket, address.get(), &address.length) != 0) {
    return {};
  }
  return toEndpoint(address.get());
}

Endpoint remoteEndpoint(evutil_socket_t socket) {
  SocketAddress address;
  address.length = sizeof(address.storage);
  if (getpeername(socket, address.get(), &address.length) != 0) {
    return {};
  }
  return toEndpoint(address.get());
}

void setNoDelay(evutil_socket_t socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void setDeadPeerTimeout(evutil_socket_t socket, Duration timeout) {
  constexpr int kProbes = 3;
  const int on = 1;
  const auto milliseconds =
      static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
  const auto seconds = static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(timeout).count());
  const int probe_seconds = std::max(1, seconds / (kProbes + 1));
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probe_seconds, sizeof(probe_seconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds, sizeof(probe_seconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

std::size_t unreadBytes(evutil_socket_t socket) { return queuedBytes(socket, FIONREAD); }

std::size_t unacknowledgedBytes(evutil_socket_t socket) { return queuedBytes(socket, SIOCOUTQ); }

}  // namespace shedlever
