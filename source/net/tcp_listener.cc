#include "source/net/tcp_listener.h"

#include <cerrno>
#include <utility>

#include "source/net/socket_address.h"

namespace shedlever {

namespace {

constexpr int kDefaultBacklog = -1;

}  // namespace

TcpListener::TcpListener(Endpoint endpoint, AcceptCallback accepted)
    : endpoint_(std::move(endpoint)), accepted_(std::move(accepted)) {}

leaf::result<std::unique_ptr<TcpListener>> TcpListener::open(EventLoop& loop, const Endpoint& listen,
                                                             AcceptCallback accepted) {
  const std::optional<SocketAddress> address = toSocketAddress(listen);
  if (!address) {
    return leaf::new_error(NetworkError{"parse IP address " + toString(listen), EINVAL});
  }
  std::unique_ptr<TcpListener> self(new TcpListener(listen, std::move(accepted)));
  const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr* peer, int, void* argument) {
    setNoDelay(socket);
    static_cast<TcpListener*>(argument)->accepted_(socket, toEndpoint(peer));
  };
  constexpr unsigned kFlags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
  self->listener_.reset(evconnlistener_new_bind(loop.base(), on_accept, self.get(), kFlags, kDefaultBacklog,
                                                address->get(), static_cast<int>(address->length)));
  if (!self->listener_) {
    return leaf::new_error(NetworkError{"listen on TCP " + toString(listen), errno});
  }
  self->endpoint_ = localEndpoint(evconnlistener_get_fd(self->listener_.get()));
  return self;
}

}  // namespace shedlever
