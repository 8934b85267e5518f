#pragma once

/// @file
/// Accepts TCP connections on the event loop.

#include <functional>

#include "shedlever/errors.h"
#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"

namespace shedlever {

/// A listening socket. Accepted sockets are non-blocking and have Nagle's algorithm disabled.
class TcpListener {
 public:
  /// Takes ownership of the accepted socket.
  using AcceptCallback = std::function<void(evutil_socket_t socket, const Endpoint& peer)>;

  /// @param listen port 0 selects a free port.
  /// @return the listener, or a NetworkError.
  static leaf::result<std::unique_ptr<TcpListener>> open(EventLoop& loop, const Endpoint& listen,
                                                         AcceptCallback accepted);

  /// @return the address and port that the listener is bound to.
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  TcpListener(Endpoint endpoint, AcceptCallback accepted);

  Endpoint endpoint_;
  AcceptCallback accepted_;
  ListenerHandle listener_;
};

}  // namespace shedlever
