#pragma once

/// @file
/// Server end of the streams between router processes: peers' requests for this node's server and their calls to the
/// store.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "shedlever/platform_ports.h"
#include "source/core/router/frame_name.h"
#include "source/core/router/link/arrived_requests.h"
#include "source/core/router/link/request_assembler.h"
#include "source/core/router/link/transit_delay.h"
#include "source/net/link_pacer.h"
#include "source/net/message_stream.h"
#include "source/net/tcp_listener.h"
#include "source/router/server_gate.h"

namespace shedlever {

/// A request whose stream broke is kept for a while, so that its sender can query the outcome on a new stream and gets
/// the reply there. A request that is queried before it has begun is never started; neither is one whose stream breaks
/// before it has begun.
class PeerServer {
 public:
  struct Ports {
    NodeIdentity self;
    const Clock* clock = nullptr;
    ServerGate* gate = nullptr;
    LinkPacer* pacer = nullptr;
    StoreCaller call_store;
    /// @return the newest revisions known to this process, which are part of every reply.
    std::function<KnownRevisions()> known_revisions;
    /// @return the reply to a request for the owner table of this process's service; none if the peer has the newest.
    std::function<std::optional<RouterFrame>(const OwnerTableRequestFrame&)> answer_table_request;
    /// A peer has written an owner table and sent the difference from the table before.
    std::function<void(const NodeName&, const OwnerTableDeltaFrame&)> on_owner_table_delta;
    /// @return the active configuration if its version is above `known`.
    std::function<std::optional<ConfigFrame>(ConfigVersion known)> config_newer_than;
    /// @return whether to request a snapshot from the peer that has just connected.
    std::function<bool()> needs_snapshot;
    /// A peer has sent a snapshot that was requested from it. @param requested_at not later than when the snapshot was
    ///   made.
    std::function<void(const ClusterSnapshotFrame&, TimePoint requested_at)> on_snapshot;
    /// @return the server crashes to be reported to a peer that has just connected.
    std::function<ServerCrashesFrame()> server_crashes;
    /// A peer has reported server crashes.
    std::function<void(const ServerCrashesFrame&)> on_server_crashes;
    /// A peer has announced that it stops.
    std::function<void(const NodeName&)> on_stopping;
    /// Checks the API key of a request whose sender has not checked it. @return whether the request may run.
    std::function<bool(ForwardFrame&)> authenticate = [](ForwardFrame&) { return true; };
    /// @return the answer to a question for tokens of a tenant's quota.
    std::function<QuotaGrantFrame(const QuotaRequestFrame&)> answer_quota_request = [](const QuotaRequestFrame& asked) {
      return QuotaGrantFrame{asked.exchange};
    };
    /// A peer has sent this node's share of a plan for its service. It is answered with the server's load.
    std::function<void(const NodeName&, const PlacementPlanFrame&)> on_placement_plan =
        [](const NodeName&, const PlacementPlanFrame&) {};
    /// A peer asks to write its edits of the owner table. The callback runs once, with what to answer.
    std::function<void(const TableEditsFrame&, std::function<void(const TableEditsReplyFrame&)>)> write_table_edits =
        [](const TableEditsFrame& edits, const std::function<void(const TableEditsReplyFrame&)>& reply) {
          reply({edits.exchange, false, {}, {}});
        };
    FrameSentCallback on_sent = [](const RouterFrame&, std::size_t) {};
    /// A request's deadline had passed when it arrived. It has not run. `lateness` of its frame.
    std::function<void(const NodeName&, const ForwardFrame&, Duration lateness)> on_late_request =
        [](const NodeName&, const ForwardFrame&, Duration) {};
    /// A request in parts was refused, because `held_bytes` of unfinished requests are held already.
    std::function<void(const NodeName&, std::size_t held_bytes)> on_parts_refused = [](const NodeName&, std::size_t) {};
    /// A frame of an unknown kind was received. `first` on its stream.
    std::function<void(const NodeName&, bool first)> on_unknown_frame = [](const NodeName&, bool) {};
  };

  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<PeerServer>> listen(EventLoop& loop, const Endpoint& endpoint, Ports ports);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  const Endpoint& endpoint() const { return listener_->endpoint(); }

  /// Notifies all connected peers that this node's server accepts no new requests.
  void broadcastStopping(const NodeName& self);
  /// Reports server crashes to all connected peers.
  void broadcastServerCrashes(const ServerCrashesFrame& crashes);

  /// @return bytes of replies that are queued but not written.
  std::size_t unsentBytes() const;

  /// @return whether a peer has not yet received all replies that were written to its stream, or waits for the reply to
  ///   a request that has not begun. The kernel would discard the rest if the process exited and the peer sent another
  ///   frame.
  bool hasUndeliveredReplies() const;

  /// @return how late frames from the peers arrive now: the largest value of the streams.
  Duration arrivalDelay() const;

  /// @return number of peers' requests without a reply.
  std::size_t inFlight() const { return active_requests_.size(); }

 private:
  struct Stream;
  using StreamId = std::uint64_t;

  /// Identifies a request by its sender and the sender's exchange.
  struct RequestKey {
    NodeIdentity sender;
    ExchangeId exchange = 0;
    auto operator<=>(const RequestKey&) const = default;
  };

  struct ActiveRequest {
    /// 0 after the stream broke.
    StreamId stream = 0;
    QueueTicket ticket = 0;
  };

  PeerServer(EventLoop& loop, Ports ports);
  void accept(evutil_socket_t socket);
  void onFrame(StreamId id, RouterFrame frame);
  /// Lets the request wait until everything has been read that has arrived on the stream with it.
  void onForward(Stream& stream, ForwardFrame frame);
  void onCancel(Stream& stream, ExchangeId exchange);
  /// @return the measurement for the sender, shared by all its streams: a stream that replaces a silent one is opened
  ///   while the link is full, so that its own first frames don't show how late they are.
  std::shared_ptr<TransitDelay> transitDelayOf(const NodeIdentity& sender);
  void beginDueRequests(StreamId id);
  void begin(StreamId id, const Stream& stream, ArrivedRequest request);
  /// Answers a request whose deadline had passed when it arrived.
  void refuseLate(const RequestKey& key, const ArrivedRequest& request);
  void onForwardPart(StreamId id, Stream& stream, const ForwardPartFrame& part);
  /// Adds what is known of this machine's link.
  void stateLink(ServerLoad& load) const;
  void onReply(const RequestKey& key, ForwardReplyFrame reply);
  void sendReply(StreamId id, Stream& stream, ForwardReplyFrame reply);
  /// Writes a large reply in parts, paced by the link.
  void sendParts(StreamId id, Stream& stream, ExchangeId exchange, std::string bytes);
  void onExchangeQuery(StreamId id, Stream& stream, const ExchangeQueryFrame& query);
  void onTableEdits(StreamId id, const TableEditsFrame& edits);
  void onStoreCall(StreamId id, StoreCallFrame call);
  void onStreamEnd(StreamId id);
  void cancelOrphans(const NodeIdentity& sender);
  /// Remembers a request that may have run and whose reply is not kept any more.
  void rememberEnded(const RequestKey& key);
  /// @return whether the request has been answered or given up, so that its outcome can't be reported.
  bool hasEnded(const RequestKey& key) const;
  Stream* find(StreamId id);

  EventLoop& loop_;
  Ports ports_;
  std::unique_ptr<TcpListener> listener_;
  std::map<StreamId, std::unique_ptr<Stream>> streams_;
  StreamId last_stream_id_ = 0;
  /// By sender; only the newest incarnation of each node.
  std::map<NodeIdentity, std::shared_ptr<TransitDelay>> transit_delays_;
  std::map<RequestKey, ActiveRequest> active_requests_;
  RequestAssembler assembler_;
  /// Replies sent on an ended stream, for later outcome queries.
  struct EndedStream {
    NodeIdentity sender;
    std::deque<ExchangeId> answered_exchanges;
  };

  std::map<StreamId, EndedStream> ended_streams_;
  /// Replies whose stream broke before they could be sent.
  std::map<RequestKey, ForwardReplyFrame> unsent_replies_;
  std::set<RequestKey> ended_requests_;
  /// Requests that were reported as not started and are ignored if they arrive later.
  std::map<RequestKey, bool> rejected_requests_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
