#pragma once

/// @file
/// Client end of the streams between router processes: forwards requests to peers and receives their replies.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "shedlever/router_frames.h"
#include "source/core/router/lease_manager.h"
#include "source/core/router/server_directory.h"
#include "source/net/message_stream.h"
#include "source/router/server_gate.h"

namespace shedlever {

/// Uses one stream per node, which is opened on demand and reopened while it is needed. When a stream breaks, unsent
/// requests are known not to have run; the outcome of the others is queried on a new stream.
class PeerClient {
 public:
  using StoreCallback = std::function<void(std::optional<HttpResponse>)>;

  struct Events {
    /// The node's process became reachable or unreachable.
    std::function<void(const NodeName&, bool reachable)> on_reachable;
    /// The node's process has just started and needs a snapshot.
    std::function<void(const NodeName&)> on_snapshot_requested;
    /// The node's process has reported its lease.
    std::function<void(const NodeName&, const PeerLease&)> on_lease;
    /// A peer has sent the owner table of its service.
    std::function<void(const OwnerTableFrame&)> on_owner_table;
    /// @return the server crashes to be reported to a process that was just connected.
    std::function<ServerCrashesFrame()> server_crashes;
    /// A peer has reported server crashes.
    std::function<void(const ServerCrashesFrame&)> on_server_crashes;
    /// A peer has sent its active configuration.
    std::function<void(const ConfigFrame&)> on_config = [](const ConfigFrame&) {};
    /// This incarnation of a node's process has answered.
    std::function<void(const NodeIdentity&)> on_identified = [](const NodeIdentity&) {};
  };

  PeerClient(EventLoop& loop, const Clock& clock, NodeIdentity self, ServerDirectory& directory, Events events);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Sends a request to a node's process.
  /// @param done called once from the event loop, unless the request is cancelled.
  ExchangeId forward(const NodeName& node, ForwardFrame frame, ForwardCallback done);
  void cancel(ExchangeId exchange);

  /// Opens a stream to the node if there is none, so that its reachability becomes known.
  void ensureConnected(const NodeName& node);

  /// Calls the store through the node.
  /// @param done receives the store's response; none if it did not arrive within the timeout.
  void callStore(const NodeName& node, HttpRequest request, Duration timeout, StoreCallback done);

  /// @return nodes with an open stream on which the hello was received.
  std::vector<NodeName> connectedNodes() const;

  /// Sends a frame without waiting for a reply.
  void send(const NodeName& node, const RouterFrame& frame);

  /// Notifies all nodes with a stream that this process stops.
  void broadcastStopping();
  /// Reports server crashes to all nodes whose stream is up; other nodes get a report when their stream comes up.
  void broadcastServerCrashes(const ServerCrashesFrame& crashes);

 private:
  struct Stream;

  struct PendingRequest {
    NodeName node;
    ForwardCallback done;
    TimePoint sent_at{};
    /// Whether the request may run again, so that its outcome need not be known.
    bool retryable = false;
    /// Set when the stream broke: the only incarnation of the peer that knows the outcome.
    std::optional<Incarnation> receiver_incarnation;
    bool outcome_requested = false;
  };

  struct PendingStoreCall {
    NodeName node;
    StoreCallback done;
    TimerId timer = 0;
  };

  Stream* streamTo(const NodeName& node);
  void onFrame(const NodeName& node, RouterFrame frame);
  void onReply(ForwardReplyFrame reply);
  void onReplyPart(const NodeName& node, const ReplyPartFrame& part);
  void onExchangeQueryReply(const ExchangeQueryReplyFrame& query_reply);
  void onStreamUp(Stream& stream);
  void onStreamEnd(Stream& stream);
  /// Queries the outcome of requests whose earlier stream broke.
  void requestOutcomes(Stream& stream);
  /// Finishes a request as unknown if its node is not connected again in time.
  void scheduleOutcomeTimeout(ExchangeId exchange);
  /// Finishes requests whose outcome can't be queried.
  /// @param misdirected whether another node's process uses the node's address.
  void finishUnresolved(const std::vector<ExchangeId>& open, bool misdirected);
  /// Pings nodes that are silent while requests wait for them and abandons those that do not respond.
  void checkSilence();
  void scheduleSilenceCheck();
  void abandonSilentPeer(Stream& stream);
  std::vector<ExchangeId> pendingAt(const NodeName& node) const;
  void finish(ExchangeId exchange, ForwardOutcome outcome, ForwardReason reason);
  /// @param always whether to reconnect also when the node is not marked unreachable.
  void scheduleReconnect(const NodeName& node, bool always);

  EventLoop& loop_;
  const Clock& clock_;
  NodeIdentity self_;
  ServerDirectory& directory_;
  Events events_;
  std::map<NodeName, std::unique_ptr<Stream>> streams_;
  std::unordered_map<ExchangeId, PendingRequest> pending_;
  std::unordered_map<ExchangeId, PendingStoreCall> store_calls_;
  ExchangeId last_exchange_ = 0;
  bool silence_check_scheduled_ = false;
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
