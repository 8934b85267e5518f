#pragma once

/// @file
/// A TCP proxy on loopback that harms what passes: delays it, resets it, lets it through one way or not at all.

#include <list>
#include <memory>

#include "source/net/tcp_listener.h"

namespace shedlever::soak {

enum class LinkFault : std::uint8_t {
  None,
  Blocked,         ///< nothing passes, nothing is closed
  ToTargetOnly,    ///< only what the connecting side sends passes
  FromTargetOnly,  ///< only what the other side sends passes
  Delayed,
};

/// Bytes that arrive during a cut are held and pass when it heals, as TCP would send them again.
class FaultProxy {
 public:
  /// @return the proxy, or a NetworkError.
  static leaf::result<std::unique_ptr<FaultProxy>> listen(EventLoop& loop, const Endpoint& target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const Endpoint& endpoint() const { return listener_->endpoint(); }

  void setFault(LinkFault fault, Duration delay = {});
  /// Breaks all connections with a reset.
  void resetAll();

 private:
  struct Connection;
  FaultProxy(EventLoop& loop, Endpoint target);
  void accept(evutil_socket_t socket);
  void pump(Connection& pair);
  void end(Connection& pair);
  bool passes(bool towards) const;

  EventLoop& loop_;
  Endpoint target_;
  LinkFault fault_ = LinkFault::None;
  Duration delay_{};
  std::list<std::unique_ptr<Connection>> pairs_;
  std::unique_ptr<TcpListener> listener_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever::soak
