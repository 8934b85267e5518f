#pragma once

/// @file
/// Streams from this process to the others: requests go out on them, replies come back.

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

/// One stream a node, opened when it is first needed and again while requests or keys need it. When a stream breaks,
/// what was not written is proved not run; of the rest the other process is asked on a new stream what became of it.
class PeerClient {
 public:
  using StoreCallback = std::function<void(std::optional<HttpResponse>)>;

  struct Events {
    /// The node's process was reached, or lost.
    std::function<void(const NodeName&, bool reachable)> on_reachable;
    /// The node's process has just started and knows nothing.
    std::function<void(const NodeName&)> on_snapshot_requested;
    /// The node's process has told of its lease.
    std::function<void(const NodeName&, const PeerLease&)> on_lease;
    /// A node has told its service's owner table, which it was asked for.
    std::function<void(const OwnerTableFrame&)> on_owner_table;
    /// @return what a process is to be told of server ends that has just been reached.
    std::function<ServerCrashesFrame()> server_ends;
    /// Another process has told of server ends.
    std::function<void(const ServerCrashesFrame&)> on_server_ends;
    /// A node has told the configuration in force there, which it was asked for.
    std::function<void(const ConfigFrame&)> on_config = [](const ConfigFrame&) {};
  };

  PeerClient(EventLoop& loop, const Clock& clock, NodeIdentity self, ServerDirectory& directory, Events events);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// @param done runs from the loop, once, unless the request is cancelled.
  ExchangeId forward(const NodeName& node, ForwardFrame frame, ForwardCallback done);
  void cancel(ExchangeId exchange);

  /// Opens a stream to the node, if there is none, to see whether it can be reached.
  void ensureConnected(const NodeName& node);

  /// Makes a call to the store through the node.
  void callStore(const NodeName& node, HttpRequest request, Duration timeout, StoreCallback done);

  /// @return nodes with an open stream.
  std::vector<NodeName> connectedNodes() const;

  /// Sends a frame that has no answer.
  void send(const NodeName& node, const RouterFrame& frame);

  /// Tells all nodes with a stream that this process stops.
  void broadcastStopping();
  /// Tells all nodes with a stream that is up; others are told once it is.
  void broadcastServerCrashes(const ServerCrashesFrame& news);

 private:
  struct Stream;

  struct PendingRequest {
    NodeName node;
    ForwardCallback done;
    TimePoint sent_at{};
    /// Whether it may run again, so that it need not be settled.
    bool retryable = false;
    /// The stream broke: the life of the other process that had it, and alone can say what became of it.
    std::optional<Incarnation> receiver_incarnation;
    /// That life has been asked.
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
  void onExchangeQueryReply(const ExchangeQueryReplyFrame& settled);
  void onStreamUp(Stream& link);
  void onStreamEnd(Stream& link);
  /// Asks what became of requests whose stream broke before this one came up.
  void requestOutcomes(Stream& link);
  /// Ends a request if its node is not there soon to say what became of it.
  void scheduleOutcomeTimeout(ExchangeId exchange);
  /// Ends requests that nobody can be asked about.
  /// @param misdirected whether another node's process is at the node's address.
  void finishUnresolved(const std::vector<ExchangeId>& open, bool misdirected);
  /// Asks nodes that are silent while requests wait for them, and gives up those that do not answer.
  void checkSilence();
  void scheduleSilenceCheck();
  void abandonSilentPeer(Stream& link);
  std::vector<ExchangeId> pendingAt(const NodeName& node) const;
  void finish(ExchangeId exchange, ForwardOutcome outcome, ForwardReason reason);
  /// @param anyway whether or not the node counts as unreachable.
  void scheduleReconnect(const NodeName& node, bool anyway);

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
  /// Set to false by the destructor, for posted work.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
