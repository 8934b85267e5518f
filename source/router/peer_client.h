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
#include "source/router/peer_stream.h"
#include "source/router/server_gate.h"

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
  using StoreCallback = std::function<void(std::optional<HttpResponse>)>;
  using QuotaGrantCallback = std::function<void(std::optional<QuotaGrantFrame>)>;
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

  PeerClient(EventLoop& loop, const Clock& clock, NodeIdentity self, ServerDirectory& directory, Events events);
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

  struct PendingStoreCall {
    NodeName node;
    StoreCallback done;
    TimerId timer = 0;
  };

  struct PendingQuotaQuestion {
    QuotaGrantCallback done;
    TimerId timer = 0;
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
  void onFrameSent(const RouterFrame& frame, std::size_t bytes) override { events_.on_sent(frame, bytes); }
  void onReply(ForwardReplyFrame reply);
  void onQuotaGrant(const QuotaGrantFrame& grant);
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
  /// Pings nodes that are silent while requests wait for them and replaces the streams of those that do not respond.
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
  std::unordered_map<ExchangeId, PendingStoreCall> store_calls_;
  std::unordered_map<ExchangeId, PendingQuotaQuestion> quota_questions_;
  std::unordered_map<ExchangeId, PendingTableEdits> table_edits_;
  ExchangeId last_exchange_ = 0;
  bool silence_check_scheduled_ = false;
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
