#pragma once

/// @file
/// Client end of the streams between router processes: forwards requests to peers and receives their replies.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "shedlever/router_frames.h"
#include "source/core/router/directory/peer_versions.h"
#include "source/core/router/directory/server_directory.h"
#include "source/core/router/frame_name.h"
#include "source/core/router/ownership/lease_manager.h"
#include "source/router/forward_part_sender.h"
#include "source/router/peer_stream.h"
#include "source/router/pending_calls.h"
#include "source/router/server_gate.h"
#include "source/router/shipment_tracker.h"

namespace shedlever {

/// A stream broke or fell silent while requests waited for their replies on it.
struct PeerStreamFailure {
  NodeName node;
  /// True if the node stopped responding; false if the connection ended.
  bool silent = false;
  std::size_t waiting_requests = 0;
  /// Bytes of the stream that were not written to the network yet.
  std::size_t unsent_bytes = 0;
  /// Time since the last frame from the node; since the start of the stream if there was none.
  Duration since_received{};
  /// Time since the first of the waiting requests was sent.
  Duration longest_wait{};
};

/// Uses one stream per node, which is opened on demand and reopened while it is needed. When a stream breaks, unsent
/// requests are known not to have run; the outcome of the others is queried on a new stream.
///
/// Silence says nothing about the outcome of a request: frames may only be delayed. The node of a silent stream is
/// marked unreachable and gets a new stream; the silent one stays open until its requests have ended.
class PeerClient final : public PeerStreamCallbacks {
 public:
  using StoreCallback = PendingCalls<HttpResponse>::Callback;
  using QuotaGrantCallback = PendingCalls<QuotaGrantFrame>::Callback;
  using TableEditsCallback = std::function<void(const std::optional<TableEditsReplyFrame>&)>;

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
    /// Requests wait on a stream that broke or fell silent.
    std::function<void(const PeerStreamFailure&)> on_stream_failure = [](const PeerStreamFailure&) {};
    /// The node has fallen behind: its replies and pongs arrive late or not at all. `behind_by` how far beyond the
    /// limit.
    std::function<void(const NodeName&, Duration behind_by)> on_behind = [](const NodeName&, Duration) {};
    /// The requests wait at a node that has fallen silent; their replies may still arrive.
    std::function<void(const std::vector<ExchangeId>&)> on_silent_requests = [](const std::vector<ExchangeId>&) {};
    /// A peer has sent its active configuration.
    std::function<void(const ConfigFrame&)> on_config = [](const ConfigFrame&) {};
    /// A node has sent the difference from the owner table that this process had when it requested a newer one.
    std::function<void(const NodeName&, const OwnerTableDeltaFrame&)> on_owner_table_delta =
        [](const NodeName&, const OwnerTableDeltaFrame&) {};
    FrameSentCallback on_sent = [](const RouterFrame&, std::size_t) {};
    /// A frame of an unknown kind was received. `first` on its stream.
    std::function<void(const NodeName&, bool first)> on_unknown_frame = [](const NodeName&, bool) {};
    /// A stream is up on which another version than the newest one is spoken.
    std::function<void(const NodeName&, WireVersion)> on_stream_version = [](const NodeName&, WireVersion) {};
    /// This incarnation of a node's process has answered.
    std::function<void(const NodeIdentity&)> on_identified = [](const NodeIdentity&) {};
  };

  /// @param pacer paces large requests to the rate of the machine's link; null: they are sent whole.
  PeerClient(EventLoop& loop, const Clock& clock, NodeIdentity self, ServerDirectory& directory, Events events,
             LinkPacer* pacer = nullptr);
  ~PeerClient() override;
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

  /// Asks the node for tokens of a tenant's quota.
  /// @param done receives the answer; none if it did not arrive within the timeout.
  void askQuota(const NodeName& node, QuotaRequestFrame question, Duration timeout, QuotaGrantCallback done);

  /// Sends edits of the owner table to the node, which writes them.
  /// @param done receives the reply; none if the stream broke or no reply arrived within the timeout. Runs from the
  ///   event loop.
  void sendTableEdits(const NodeName& node, TableEditsFrame edits, Duration timeout, TableEditsCallback done);

  /// @return whether there is an open stream to the node on which the hello was received.
  bool isConnected(const NodeName& node) const;

  /// @return nodes with an open stream on which the hello was received.
  std::vector<NodeName> connectedNodes() const;

  /// @return the version in which frames to the node are encoded.
  WireVersion versionOf(const NodeName& node) const;

  /// @return bytes of the node's stream that its kernel has not acknowledged; 0 without a stream.
  std::uint64_t unacknowledgedBytes(const NodeName& node) const;

  /// @return bytes of large requests that wait here for links.
  std::size_t queuedRequestBytes() const { return parts_ ? parts_->queuedBytes() : 0; }

  /// Sends a frame without waiting for a reply.
  void send(const NodeName& node, const RouterFrame& frame);

  /// Notifies all nodes with a stream that this process stops.
  void broadcastStopping();
  /// Reports server crashes to all nodes whose stream is up; other nodes get a report when their stream comes up.
  void broadcastServerCrashes(const ServerCrashesFrame& crashes);

 private:
  struct PendingRequest {
    NodeName node;
    ForwardCallback done;
    TimePoint sent_at{};
    /// Whether the request was passed to a stream.
    bool sent = false;
    /// The stream on which the reply is expected; 0 if it has broken.
    PeerStreamId stream = 0;
    /// Set when the stream broke or fell silent: the only incarnation of the peer that knows the outcome.
    std::optional<Incarnation> receiver_incarnation;
    bool outcome_requested = false;
    /// The peer has reported that it wrote the reply to the stream of the request.
    bool reply_sent = false;
  };

  struct PendingTableEdits {
    NodeName node;
    TableEditsCallback done;
    TimerId timer = 0;
  };

  void endTableEdits(ExchangeId exchange, const std::optional<TableEditsReplyFrame>& reply);
  /// The stream to the node broke: its replies will not arrive.
  void failTableEdits(const NodeName& node);

  PeerStream* streamTo(const NodeName& node);
  /// @return the stream if it is open.
  PeerStream* find(PeerStreamId id);
  void onStreamUp(PeerStream& stream) override;
  void onStreamFrame(PeerStream& stream, RouterFrame frame) override;
  void onStreamClosed(PeerStreamId id) override;
  void onFrameSent(const RouterFrame& frame, std::size_t bytes) override;
  ForwardPartSender::Ports partPorts();
  /// Passes the request to the stream, in parts if it is large. @return whether the stream took it.
  bool sendRequest(PeerStream& stream, ForwardFrame frame);
  void onReply(ForwardReplyFrame reply);
  /// Sends no further parts of a request that has ended, and makes the peer drop those that it has.
  void stopSending(ExchangeId exchange, PeerStreamId id);
  /// A node whose replies arrive late is behind for as long as the delay would last if nothing more was sent.
  void onReplyDelay(const PeerStream& stream);
  void onReplyPart(PeerStream& stream, const ReplyPartFrame& part);
  void onExchangeQueryReply(const PeerStream& stream, const ExchangeQueryReplyFrame& query_reply);
  void onStreamEnd(PeerStream& stream);
  void onSilentStreamEnd(PeerStream& stream);
  /// Opens a stream in another version if the peer may not know that of the ended stream, and moves its frames there.
  /// @return whether it did.
  bool retryWithOtherVersion(PeerStream& rejected);
  /// Finishes the requests of an ended stream that were not completely written, and assigns the others to no stream.
  void detachRequests(const PeerStream& stream);
  /// Queries the outcome of requests whose earlier stream broke or fell silent.
  void requestOutcomes(PeerStream& stream);
  /// Finishes a request as unknown if its node is not connected again in time.
  void scheduleOutcomeTimeout(ExchangeId exchange);
  /// Finishes requests whose outcome can't be queried.
  /// @param misdirected whether another node's process uses the node's address.
  void finishUnresolved(const std::vector<ExchangeId>& open, bool misdirected);
  /// Makes requests without a key prefer other nodes until then.
  void markBehind(const NodeName& node, Duration behind_by, TimePoint until);
  /// Pings nodes that are silent while requests wait for them, marks those that have fallen behind, and replaces the
  /// streams of those that do not respond.
  void checkSilence();
  void scheduleSilenceCheck();
  void replaceSilentStream(const NodeName& node);
  void onSilentNodeResponds(const NodeName& node);
  /// Closes a silent stream when no request waits on it any more.
  void closeSilentStreamIfUnused(PeerStreamId id);
  /// Makes the outcomes of all requests to the node be queried on its next stream; earlier queries may be lost.
  void forgetQueries(const NodeName& node);
  void reportFailure(const PeerStream& stream, bool silent, const std::vector<ExchangeId>& waiting);
  /// @return the requests to the node that expect their reply on the stream; 0: those whose stream has broken.
  std::vector<ExchangeId> pendingOn(const NodeName& node, PeerStreamId id) const;
  void finish(ExchangeId exchange, ForwardOutcome outcome, ForwardReason reason);
  /// @param always whether to reconnect also when the node is not marked unreachable.
  void scheduleReconnect(const NodeName& node, bool always);

  EventLoop& loop_;
  const Clock& clock_;
  NodeIdentity self_;
  ServerDirectory& directory_;
  Events events_;
  PeerVersions versions_;
  std::map<NodeName, std::unique_ptr<PeerStream>> streams_;
  /// Replaced streams on which requests still wait.
  std::map<PeerStreamId, std::unique_ptr<PeerStream>> silent_streams_;
  PeerStreamId last_stream_ = 0;
  std::unordered_map<ExchangeId, PendingRequest> pending_;
  PendingCalls<HttpResponse> store_calls_;
  PendingCalls<QuotaGrantFrame> quota_questions_;
  ShipmentTracker shipments_;
  LinkPacer* pacer_;
  /// Empty without a pacer.
  std::optional<ForwardPartSender> parts_;
  std::unordered_map<ExchangeId, PendingTableEdits> table_edits_;
  ExchangeId last_exchange_ = 0;
  bool silence_check_scheduled_ = false;
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
