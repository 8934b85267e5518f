#pragma once

/// @file
/// A TCP proxy on loopback that injects faults: it delays or blocks traffic, in one or both directions, and resets
/// connections.

#include <list>
#include <memory>

#include "source/net/tcp_listener.h"

namespace shedlever::soak {

enum class LinkFault : std::uint8_t {
  None,
  Blocked,         ///< forwards nothing and closes nothing
  ToTargetOnly,    ///< forwards only what the connecting side sends
  FromTargetOnly,  ///< forwards only what the target sends
  Delayed,
};

/// Bytes that arrive while a direction is blocked are buffered and forwarded after the fault, as TCP would retransmit
/// them.
class FaultProxy {
 public:
  /// @return the proxy, or a NetworkError.
  static leaf::result<std::unique_ptr<FaultProxy>> listen(EventLoop& loop, const Endpoint& target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const Endpoint& endpoint() const { return listener_->endpoint(); }

  void setFault(LinkFault fault, Duration delay = {});
  /// Closes all connections with a TCP reset.
  void resetAll();

 private:
  struct Connection;
  FaultProxy(EventLoop& loop, Endpoint target);
  void accept(evutil_socket_t socket);
  void forward(Connection& connection);
  void closeSoon(Connection& connection);
  bool isForwarding(bool to_target) const;

  EventLoop& loop_;
  Endpoint target_;
  LinkFault fault_ = LinkFault::None;
  Duration delay_{};
  std::list<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<TcpListener> listener_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever::soak
