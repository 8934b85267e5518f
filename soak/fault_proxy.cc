#include "soak/fault_proxy.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "source/net/socket_address.h"

namespace shedlever::soak {

/// One proxied connection: `near` is the side that connected, `far` the target.
struct FaultProxy::Connection {
  FaultProxy* proxy = nullptr;
  BufferEventHandle near;
  BufferEventHandle far;
  bool near_ended = false;
  bool far_ended = false;
  bool pump_planned = false;
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
  auto pair = std::make_unique<Connection>();
  pair->proxy = this;
  pair->near.reset(bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE));
  pair->far.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  const auto on_read = [](bufferevent*, void* argument) {
    auto* at = static_cast<Connection*>(argument);
    at->proxy->pump(*at);
  };
  const auto on_event = [](bufferevent* stream, short events, void* argument) {
    auto* at = static_cast<Connection*>(argument);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      return;
    }
    (stream == at->near.get() ? at->near_ended : at->far_ended) = true;
    at->proxy->pump(*at);
  };
  for (bufferevent* stream : {pair->near.get(), pair->far.get()}) {
    bufferevent_setcb(stream, on_read, nullptr, on_event, pair.get());
    bufferevent_enable(stream, EV_READ | EV_WRITE);
  }
  const auto address = toSocketAddress(target_);
  bufferevent_socket_connect(pair->far.get(), const_cast<sockaddr*>(address->get()), static_cast<int>(address->length));
  pairs_.push_back(std::move(pair));
}

bool FaultProxy::passes(bool towards) const {
  switch (fault_) {
    case LinkFault::None:
    case LinkFault::Delayed:
      return true;
    case LinkFault::Blocked:
      return false;
    case LinkFault::ToTargetOnly:
      return towards;
    case LinkFault::FromTargetOnly:
      return !towards;
  }
  return true;
}

void FaultProxy::pump(Connection& pair) {
  if (fault_ == LinkFault::Delayed && !pair.pump_planned) {
    pair.pump_planned = true;
    loop_.runAfter(delay_, [this, alive = alive_, at = &pair] {
      const bool still_there =
          *alive && std::any_of(pairs_.begin(), pairs_.end(), [at](const auto& other) { return other.get() == at; });
      if (still_there) {
        pump(*at);
        at->pump_planned = false;
      }
    });
    return;
  }
  if (passes(true)) {
    bufferevent_write_buffer(pair.far.get(), bufferevent_get_input(pair.near.get()));
  }
  if (passes(false)) {
    bufferevent_write_buffer(pair.near.get(), bufferevent_get_input(pair.far.get()));
  }
  if ((pair.near_ended && passes(true)) || (pair.far_ended && passes(false))) {
    end(pair);
  }
}

void FaultProxy::end(Connection& pair) {
  // What was passed on is still to be written: the kernel gets it before the socket is closed.
  bufferevent_flush(pair.near.get(), EV_WRITE, BEV_FLUSH);
  bufferevent_flush(pair.far.get(), EV_WRITE, BEV_FLUSH);
  loop_.runAfter(std::chrono::milliseconds(5), [this, alive = alive_, at = &pair] {
    if (*alive) {
      std::erase_if(pairs_, [at](const auto& other) { return other.get() == at; });
    }
  });
}

void FaultProxy::setFault(LinkFault fault, Duration delay) {
  fault_ = fault;
  delay_ = delay;
  std::vector<Connection*> all;
  for (const auto& pair : pairs_) {
    all.push_back(pair.get());
  }
  for (Connection* pair : all) {
    pump(*pair);
  }
}

void FaultProxy::resetAll() {
  for (const auto& pair : pairs_) {
    for (bufferevent* stream : {pair->near.get(), pair->far.get()}) {
      const linger now{1, 0};
      setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
  }
  pairs_.clear();
}

}  // namespace shedlever::soak
