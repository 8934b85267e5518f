#pragma once

/// @file
/// Calls to the store: straight, or through another node while this one can't reach it or is refused.

#include <functional>
#include <optional>

#include "source/net/http_client.h"
#include "source/router/event_log.h"
#include "source/router/peer_client.h"
#include "source/router/peer_server.h"
#include "source/router/router_metrics.h"

namespace shedlever {

/// A call that got no answer straight, or that the store refused to serve, is tried once more through a peer. All
/// writes of this process are conditional, so one that was carried out after all fails the second time and is told as a
/// conflict.
class StoreClient {
 public:
  using Callback = std::function<void(std::optional<HttpResponse>)>;

  StoreClient(EventLoop& loop, const Clock& clock, const Endpoint& store, PeerClient& peer_client, EventLog& log,
              RouterMetrics& metrics);

  /// A call of this process. Watches and checks are made straight only: who can't reach the store hears of changes from
  /// other processes.
  void call(const StoreCall& call, Callback done);

  /// A call on behalf of another node, made straight only.
  void callDirectly(StoreCall call, Callback done);

  /// @return whether the last straight call had an answer.
  bool directCallsWork() const { return direct_calls_work_; }

 private:
  /// @return whether it is worth trying a peer, as the store may refuse this node alone.
  bool mayUsePeer() const { return clock_.now() >= avoid_peers_until_ && !peer_client_.connectedNodes().empty(); }
  void callThroughPeer(const StoreCall& call, Callback done);
  HttpClient& clientFor(StoreConnection connection);

  EventLoop& loop_;
  const Clock& clock_;
  PeerClient& peer_client_;
  EventLog& log_;
  RouterMetrics& metrics_;
  HttpClient calls_;
  HttpClient watches_;
  HttpClient checks_;
  bool direct_calls_work_ = true;
  /// Until then calls go through a peer at once.
  TimePoint use_peers_until_{};
  /// Until then the store is taken to refuse everybody.
  TimePoint avoid_peers_until_{};
  std::size_t next_peer_ = 0;
};

}  // namespace shedlever
