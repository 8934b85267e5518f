#pragma once

/// @file
/// Calls to the store: directly, or through a peer while this node can't reach the store or is refused.

#include <functional>
#include <optional>

#include "source/net/http_client.h"
#include "source/net/memory_budget.h"
#include "source/router/event_log.h"
#include "source/router/peer_client.h"
#include "source/router/peer_server.h"
#include "source/router/router_metrics.h"
#include "source/router/store_call_counts.h"

namespace shedlever {

/// Retries a call once through a peer if the direct call got no response or the store refused to serve it. All writes
/// of this process are conditional, so a write that succeeded unnoticed is reported as a conflict when it is retried.
class StoreClient {
 public:
  using Callback = std::function<void(std::optional<HttpResponse>)>;

  StoreClient(EventLoop& loop, const Clock& clock, const Endpoint& store, PeerClient& peer_client, EventLog& log,
              RouterMetrics& metrics);

  /// Makes a call of this process. Watches and checks are made directly only; a process that can't reach the store
  /// learns of changes from its peers.
  void call(const StoreCall& call, Callback done);

  /// Makes a call on behalf of a peer, directly only.
  void callDirectly(StoreCall call, Callback done);

  /// @return whether the last direct call got a response.
  bool directCallsWork() const { return direct_calls_work_; }

 private:
  /// @return whether to retry a refused call through a peer, since the store may refuse only this node.
  bool mayUsePeer() const { return clock_.now() >= avoid_peers_until_ && !peer_client_.connectedNodes().empty(); }
  void callThroughPeer(const StoreCall& call, Callback done);
  HttpClient& clientFor(StoreConnection connection);

  EventLoop& loop_;
  const Clock& clock_;
  PeerClient& peer_client_;
  EventLog& log_;
  RouterMetrics& metrics_;
  StoreCallCounts counts_;
  /// Charged for the answers of the store while they are received.
  MemoryBudget answer_budget_;
  HttpClient calls_;
  HttpClient watches_;
  HttpClient checks_;
  bool direct_calls_work_ = true;
  /// Calls go through a peer without a direct attempt until then.
  TimePoint use_peers_until_{};
  /// Refused calls are not retried through a peer until then, since the store has refused a peer as well.
  TimePoint avoid_peers_until_{};
  std::size_t next_peer_ = 0;
};

}  // namespace shedlever
