#pragma once

/// @file
/// Conversion between endpoints and socket addresses, and TCP socket options.

#include <sys/socket.h>

#include <cstddef>
#include <optional>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"
#include "source/net/event_handles.h"

namespace shedlever {

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// @return the socket address, or nothing when the endpoint has no valid IPv4 or IPv6 address.
std::optional<SocketAddress> toSocketAddress(const Endpoint& endpoint);

/// @return the endpoint of an IPv4 or IPv6 address; empty for other families. An IPv4-mapped IPv6 address becomes an
///   IPv4 address.
Endpoint toEndpoint(const sockaddr* address);

/// @return the endpoint that the socket is bound to; empty on failure.
Endpoint localEndpoint(evutil_socket_t socket);

/// @return the remote endpoint of a connected socket; empty on failure.
Endpoint remoteEndpoint(evutil_socket_t socket);

/// Disables Nagle's algorithm (TCP_NODELAY).
void setNoDelay(evutil_socket_t socket);

/// Makes the kernel close the connection when the other side has acknowledged nothing for about this time, also while
/// the connection is idle. The default retransmission timeouts would detect a network partition only after minutes.
void setDeadPeerTimeout(evutil_socket_t socket, Duration timeout);

/// @return the number of received bytes that were not read from the socket yet.
std::size_t unreadBytes(evutil_socket_t socket);

/// @return the number of written bytes that the other side has not acknowledged yet.
std::size_t unacknowledgedBytes(evutil_socket_t socket);

}  // namespace shedlever
