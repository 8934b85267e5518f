#pragma once

/// @file
/// Endpoints to socket addresses and back.

#include <sys/socket.h>

#include <optional>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"
#include "source/net/event_handles.h"

namespace shedlever {

/// A socket address with its length.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// @return the address; nothing unless the endpoint's address is an IPv4 or IPv6 address.
std::optional<SocketAddress> toSocketAddress(const Endpoint& endpoint);

/// @return the endpoint of an IPv4 or IPv6 address; empty for others. IPv4 mapped into IPv6 becomes IPv4.
Endpoint toEndpoint(const sockaddr* address);

/// @return the endpoint that the socket is bound to; empty on failure.
Endpoint localEndpoint(evutil_socket_t socket);

/// @return the endpoint at the other end of a connected socket; empty on failure.
Endpoint remoteEndpoint(evutil_socket_t socket);

/// Turns off Nagle's delay.
void setNoDelay(evutil_socket_t socket);

/// Breaks the connection when the other end has acknowledged nothing for about this long, whether or not something
/// is being sent. Else, after a partition, the kernel's own repeats come minutes apart.
void setDeadPeerTimeout(evutil_socket_t socket, Duration limit);

}  // namespace shedlever
