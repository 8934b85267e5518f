#pragma once

/// @file
/// Streams from other processes to this one: their requests for the server beside it, and their calls to the store.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "shedlever/platform_ports.h"
#include "source/net/link_pacer.h"
#include "source/net/message_stream.h"
#include "source/net/tcp_listener.h"
#include "source/router/server_gate.h"

namespace shedlever {

/// A request whose stream broke stays for a while: its sender may ask on a new stream what became of it, and gets the
/// answer there. One that has not been begun by then never is.
class PeerServer {
 public:
  struct Ports {
    /// This process.
    NodeIdentity self;
    ServerGate* gate = nullptr;
    LinkPacer* pacer = nullptr;
    StoreCaller call_store;
    /// Newest objects that this process has seen, for every reply.
    std::function<KnownRevisions()> known_revisions;
    /// @return the owner table of this process's service if it is newer than that revision.
    std::function<std::optional<ObjectCopy>(const StoreRevision& known)> table_newer_than;
    /// Another process has written an owner table.
    std::function<void(const OwnerTableFrame&)> on_owner_table;
    /// @return the configuration in force here if its version is above that one.
    std::function<std::optional<ConfigFrame>(ConfigVersion known)> config_newer_than;
    /// @return whether this process knows nothing yet and the store does not answer.
    std::function<bool()> needs_state;
    /// Another process tells what it knows.
    std::function<void(const ClusterSnapshotFrame&)> on_state;
    /// @return what a process is to be told of server ends that has just been reached.
    std::function<ServerCrashesFrame()> server_ends;
    /// Another process has told of server ends.
    std::function<void(const ServerCrashesFrame&)> on_server_ends;
    /// A process said that it stops.
    std::function<void(const NodeName&)> on_stopping;
  };

  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<PeerServer>> listen(EventLoop& loop, const Endpoint& endpoint, Ports ports);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  const Endpoint& endpoint() const { return listener_->endpoint(); }

  /// Tells all processes with a stream that the server beside this one takes nothing new.
  void broadcastStopping(const NodeName& self);
  /// Tells all processes with a stream.
  void broadcastServerCrashes(const ServerCrashesFrame& news);

  /// @return bytes of answers that are not written yet.
  std::size_t unsentBytes() const;

  /// @return requests of other processes that are not answered.
  std::size_t inFlight() const { return active_requests_.size(); }

 private:
  struct Stream;
  using StreamId = std::uint64_t;

  /// A request as its sender names it.
  struct RequestKey {
    NodeIdentity sender;
    ExchangeId exchange = 0;
    auto operator<=>(const RequestKey&) const = default;
  };

  struct ActiveRequest {
    /// 0 once its stream broke.
    StreamId stream = 0;
    QueueTicket ticket = 0;
  };

  PeerServer(EventLoop& loop, Ports ports);
  void accept(evutil_socket_t socket);
  void onFrame(StreamId number, RouterFrame frame);
  void onForward(StreamId number, Stream& stream, ForwardFrame frame);
  void onReply(const RequestKey& key, ForwardReplyFrame reply);
  void sendReply(StreamId number, Stream& stream, ForwardReplyFrame reply);
  /// Writes a large reply piece by piece.
  void sendParts(StreamId number, Stream& stream, ExchangeId exchange, std::string bytes);
  void onSettle(StreamId number, Stream& stream, const ExchangeQueryFrame& settle);
  void onStoreCall(StreamId number, StoreCallFrame call);
  void onStreamEnd(StreamId number);
  void cancelOrphans(const NodeIdentity& sender);
  bool wasAnswered(const RequestKey& key) const;
  Stream* find(StreamId number);

  EventLoop& loop_;
  Ports ports_;
  std::unique_ptr<TcpListener> listener_;
  std::map<StreamId, std::unique_ptr<Stream>> streams_;
  StreamId last_stream_id_ = 0;
  std::map<RequestKey, ActiveRequest> active_requests_;
  /// What was answered on streams that have ended, for questions about it.
  struct EndedStream {
    NodeIdentity sender;
    std::deque<ExchangeId> answered_exchanges;
  };

  std::map<StreamId, EndedStream> ended_streams_;
  /// Answers whose stream broke before they could be sent.
  std::map<RequestKey, ForwardReplyFrame> unsent_replies_;
  /// Requests that were asked about before they came.
  std::map<RequestKey, bool> rejected_requests_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
