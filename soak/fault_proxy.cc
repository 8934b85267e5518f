#include "soak/fault_proxy.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "source/net/socket_address.h"

namespace shedlever::soak {

/// One proxied connection: `client` is the side that connected.
struct FaultProxy::Connection {
  FaultProxy* proxy = nullptr;
  BufferEventHandle client;
  BufferEventHandle target;
  bool client_closed = false;
  bool target_closed = false;
  bool forward_scheduled = false;
};

leaf::result<std::unique_ptr<FaultProxy>> FaultProxy::listen(EventLoop& loop, const Endpoint& target) {
  std::unique_ptr<FaultProxy> proxy(new FaultProxy(loop, target));
  const auto accepted = [raw = proxy.get()](evutil_socket_t socket, const Endpoint&) { raw->accept(socket); };
  BOOST_LEAF_AUTO(listener, TcpListener::open(loop, {"127.0.0.1", 0}, accepted));
  proxy->listener_ = std::move(listener);
  return proxy;
}

FaultProxy::FaultProxy(EventLoop& loop, Endpoint target) : loop_(loop), target_(std::move(target)) {}

FaultProxy::~FaultProxy() { *alive_ = false; }

void FaultProxy::accept(evutil_socket_t socket) {
  auto connection = std::make_unique<Connection>();
  connection->proxy = this;
  connection->client.reset(bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE));
  connection->target.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  const auto on_read = [](bufferevent*, void* argument) {
    auto* at = static_cast<Connection*>(argument);
    at->proxy->forward(*at);
  };
  const auto on_event = [](bufferevent* stream, short events, void* argument) {
    auto* at = static_cast<Connection*>(argument);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      return;
    }
    (stream == at->client.get() ? at->client_closed : at->target_closed) = true;
    at->proxy->forward(*at);
  };
  for (bufferevent* stream : {connection->client.get(), connection->target.get()}) {
    bufferevent_setcb(stream, on_read, nullptr, on_event, connection.get());
    bufferevent_enable(stream, EV_READ | EV_WRITE);
  }
  const auto address = toSocketAddress(target_);
  bufferevent_socket_connect(connection->target.get(), const_cast<sockaddr*>(address->get()),
                             static_cast<int>(address->length));
  connections_.push_back(std::move(connection));
}

bool FaultProxy::isForwarding(bool to_target) const {
  switch (fault_) {
    case LinkFault::None:
    case LinkFault::Delayed:
      return true;
    case LinkFault::Blocked:
      return false;
    case LinkFault::ToTargetOnly:
      return to_target;
    case LinkFault::FromTargetOnly:
      return !to_target;
  }
  return true;
}

void FaultProxy::forward(Connection& connection) {
  if (fault_ == LinkFault::Delayed && !connection.forward_scheduled) {
    connection.forward_scheduled = true;
    loop_.runAfter(delay_, [this, alive = alive_, at = &connection] {
      const bool is_open = *alive && std::any_of(connections_.begin(), connections_.end(),
                                                 [at](const auto& other) { return other.get() == at; });
      if (is_open) {
        forward(*at);
        at->forward_scheduled = false;
      }
    });
    return;
  }
  if (isForwarding(true)) {
    bufferevent_write_buffer(connection.target.get(), bufferevent_get_input(connection.client.get()));
  }
  if (isForwarding(false)) {
    bufferevent_write_buffer(connection.client.get(), bufferevent_get_input(connection.target.get()));
  }
  if ((connection.client_closed && isForwarding(true)) || (connection.target_closed && isForwarding(false))) {
    closeSoon(connection);
  }
}

void FaultProxy::closeSoon(Connection& connection) {
  // Hands the forwarded bytes to the kernel before the sockets are closed.
  bufferevent_flush(connection.client.get(), EV_WRITE, BEV_FLUSH);
  bufferevent_flush(connection.target.get(), EV_WRITE, BEV_FLUSH);
  loop_.runAfter(std::chrono::milliseconds(5), [this, alive = alive_, at = &connection] {
    if (*alive) {
      std::erase_if(connections_, [at](const auto& other) { return other.get() == at; });
    }
  });
}

void FaultProxy::setFault(LinkFault fault, Duration delay) {
  fault_ = fault;
  delay_ = delay;
  std::vector<Connection*> all;
  for (const auto& connection : connections_) {
    all.push_back(connection.get());
  }
  for (Connection* connection : all) {
    forward(*connection);
  }
}

void FaultProxy::resetAll() {
  for (const auto& connection : connections_) {
    for (bufferevent* stream : {connection->client.get(), connection->target.get()}) {
      const linger reset_on_close{1, 0};
      setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
    }
  }
  connections_.clear();
}

}  // namespace shedlever::soak
