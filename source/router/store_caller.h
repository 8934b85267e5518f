#pragma once

/// @file
/// Calls to the store: straight, or through another node while this one can't reach it or is refused.

#include <functional>
#include <optional>

#include "source/net/http_client.h"
#include "source/router/event_log.h"
#include "source/router/peer_links.h"
#include "source/router/peer_server.h"
#include "source/router/router_metrics.h"

namespace shedlever {

/// A call that got no answer straight, or that the store refused to serve, is tried once more through a peer. All
/// writes of this process are conditional, so one that was carried out after all fails the second time and is told as a
/// conflict.
class StoreAccess {
 public:
  using Callback = std::function<void(std::optional<HttpResponse>)>;

  StoreAccess(EventLoop& loop, const Clock& clock, const Endpoint& store, PeerLinks& links, EventLog& log,
              RouterMetrics& metrics);

  /// A call of this process. Watches and checks are made straight only: who can't reach the store hears of changes from
  /// other processes.
  void call(const StoreCall& call, Callback done);

  /// A call on behalf of another node, made straight only.
  void callStraight(StoreCall call, Callback done);

  /// @return whether the last straight call had an answer.
  bool straightWorks() const { return straight_works_; }

 private:
  /// @return whether it is worth trying a peer, as the store may refuse this node alone.
  bool mayDetour() const { return clock_.now() >= no_detour_until_ && !links_.connected().empty(); }
  void callThroughPeer(const StoreCall& call, Callback done);
  HttpClient& clientFor(StoreConnection connection);

  EventLoop& loop_;
  const Clock& clock_;
  PeerLinks& links_;
  EventLog& log_;
  RouterMetrics& metrics_;
  HttpClient calls_;
  HttpClient watches_;
  HttpClient checks_;
  bool straight_works_ = true;
  /// Until then calls go through a peer at once.
  TimePoint detour_until_{};
  /// Until then the store is taken to refuse everybody.
  TimePoint no_detour_until_{};
  std::size_t next_peer_ = 0;
};

}  // namespace shedlever
