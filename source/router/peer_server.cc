#include "source/router/peer_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "shedlever/load_report.h"
#include "source/core/router/link/transit_delay.h"
#include "source/router/peer_stream_options.h"

namespace shedlever {

namespace {

/// How long a request or a reply is kept after its stream broke.
constexpr Duration kOrphanTimeout = std::chrono::milliseconds(900);
/// How long ended streams and rejected requests are remembered; a request may still be read from a broken stream then.
constexpr Duration kEndedStreamRetention = std::chrono::seconds(10);
/// How long a request is remembered whose outcome can't be reported any more; longer than requests wait.
constexpr Duration kEndedRequestRetention = std::chrono::seconds(30);
constexpr std::size_t kMaxRememberedReplies = 1024;

}  // namespace

struct PeerServer::Stream final : public MessageStreamCallbacks {
  Stream(PeerServer& owner, StreamId stream_id, evutil_socket_t socket)
      : server(owner), id(stream_id), transport(owner.loop_, socket, peerStreamOptions(), *this) {}

  void onMessage(std::string_view message) override {
    auto frame = decodeRouterFrame(message, version());
    if (!frame) {
      transport.abort();
      return;
    }
    server.onFrame(id, std::move(frame.value()));
  }

  void onInputRead() override { server.beginDueRequests(id); }

  void onClosed() override {
    ended = true;
    server.loop_.post([owner = &server, alive = server.alive_, stream_id = id] {
      if (*alive) {
        owner->onStreamEnd(stream_id);
      }
    });
  }

  /// @return the version in which the peer speaks.
  WireVersion version() const { return versionOfPreface(transport.preface()).value_or(kUnstatedWireVersion); }

  bool send(const RouterFrame& frame) {
    if (!isKnownIn(frame, version())) {
      return false;
    }
    std::string bytes = encodeRouterFrame(frame, version());
    server.ports_.pacer->recordSent(bytes.size());
    return sendEncoded(frame, std::move(bytes));
  }

  /// @param bytes the encoded frame.
  bool sendEncoded(const RouterFrame& frame, std::string bytes) {
    const std::size_t size = bytes.size();
    if (ended || !transport.send(std::move(bytes))) {
      return false;
    }
    server.ports_.on_sent(frame, size);
    return true;
  }

  /// Sends a reply or a part of one.
  bool sendEncodedReply(const RouterFrame& frame, std::string bytes) {
    const bool sent = sendEncoded(frame, std::move(bytes));
    last_reply_end = transport.enqueuedBytes();
    return sent;
  }

  PeerServer& server;
  StreamId id;
  MessageStream transport;
  /// Empty until the hello is received.
  NodeIdentity sender;
  /// When this process requested a snapshot on the stream; none if it did not.
  std::optional<TimePoint> snapshot_requested_at;
  /// The peer expects another node, which had this address before; its frames are ignored.
  bool misdirected = false;
  bool received_unknown_frame = false;
  /// How late the peer's requests arrive; shared with the peer's earlier streams.
  std::shared_ptr<TransitDelay> transit_delay = std::make_shared<TransitDelay>();
  /// Requests that have not begun.
  ArrivedRequests arrived;
  /// Offset of the end of the last reply in the bytes sent on the stream.
  std::uint64_t last_reply_end = 0;
  /// Exchanges of the last replies, up to `kMaxRememberedReplies`.
  std::deque<ExchangeId> answered_exchanges;
  /// Large replies in progress.
  std::unordered_map<ExchangeId, TransferId> transfers;
  bool ended = false;
};

PeerServer::PeerServer(EventLoop& loop, Ports ports) : loop_(loop), ports_(std::move(ports)) {}

PeerServer::~PeerServer() { *alive_ = false; }

leaf::result<std::unique_ptr<PeerServer>> PeerServer::listen(EventLoop& loop, const Endpoint& endpoint, Ports ports) {
  std::unique_ptr<PeerServer> server(new PeerServer(loop, std::move(ports)));
  const auto accepted = [raw = server.get()](evutil_socket_t socket, const Endpoint&) { raw->accept(socket); };
  BOOST_LEAF_AUTO(listener, TcpListener::open(loop, endpoint, accepted));
  server->listener_ = std::move(listener);
  return server;
}

void PeerServer::accept(evutil_socket_t socket) {
  const StreamId id = ++last_stream_id_;
  streams_.emplace(id, std::make_unique<Stream>(*this, id, socket));
}

PeerServer::Stream* PeerServer::find(StreamId id) {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : found->second.get();
}

void PeerServer::broadcastStopping(const NodeName& self) {
  for (const auto& [id, stream] : streams_) {
    stream->send(StoppingFrame{self});
  }
}

void PeerServer::broadcastServerCrashes(const ServerCrashesFrame& crashes) {
  for (const auto& [id, stream] : streams_) {
    if (!stream->misdirected && !stream->sender.name.empty()) {
      stream->send(crashes);
    }
  }
}

std::size_t PeerServer::unsentBytes() const {
  std::size_t bytes = 0;
  for (const auto& [id, stream] : streams_) {
    bytes += stream->ended ? 0 : stream->transport.unsentBytes();
  }
  return bytes;
}

bool PeerServer::hasUndeliveredReplies() const {
  return std::any_of(streams_.begin(), streams_.end(), [](const auto& entry) {
    const Stream& stream = *entry.second;
    return !stream.ended && (!stream.arrived.empty() || stream.transport.acknowledgedBytes() < stream.last_reply_end);
  });
}

Duration PeerServer::arrivalDelay() const {
  const TimePoint now = ports_.clock->now();
  Duration longest{};
  for (const auto& [id, stream] : streams_) {
    longest = std::max(longest, stream->transit_delay->current(now));
  }
  return longest;
}

void PeerServer::onFrame(StreamId id, RouterFrame frame) {
  Stream* stream = find(id);
  if (stream == nullptr) {
    return;
  }
  if (stream->misdirected) {
    return;
  }
  if (auto* forward = std::get_if<ForwardFrame>(&frame)) {
    onForward(*stream, std::move(*forward));
  } else if (const auto* part = std::get_if<ForwardPartFrame>(&frame)) {
    onForwardPart(id, *stream, *part);
  } else if (const auto* cancel = std::get_if<CancelForwardFrame>(&frame)) {
    assembler_.drop(id, cancel->exchange);
    onCancel(*stream, cancel->exchange);
  } else if (const auto* hello = std::get_if<HelloFrame>(&frame)) {
    stream->sender = {hello->node, hello->incarnation};
    stream->transit_delay = transitDelayOf(stream->sender);
    stream->misdirected = hello->expected_node != ports_.self.name;
    const bool requests_snapshot = !stream->misdirected && ports_.needs_snapshot();
    if (requests_snapshot) {
      stream->snapshot_requested_at = ports_.clock->now();
    }
    stream->send(HelloFrame{ports_.self.name, ports_.self.incarnation, requests_snapshot, {}});
    const ServerCrashesFrame crashes = ports_.server_crashes();
    if (!stream->misdirected && !crashes.empty()) {
      stream->send(crashes);
    }
  } else if (std::holds_alternative<PingFrame>(frame)) {
    stream->send(PongFrame{});
  } else if (const auto* stopping = std::get_if<StoppingFrame>(&frame)) {
    ports_.on_stopping(stopping->node);
  } else if (const auto* query = std::get_if<ExchangeQueryFrame>(&frame)) {
    onExchangeQuery(id, *stream, *query);
  } else if (const auto* table_request = std::get_if<OwnerTableRequestFrame>(&frame)) {
    if (const auto newer = ports_.answer_table_request(*table_request)) {
      stream->send(*newer);
    }
  } else if (const auto* config_request = std::get_if<ConfigRequestFrame>(&frame)) {
    if (auto newer = ports_.config_newer_than(config_request->known)) {
      stream->send(std::move(*newer));
    }
  } else if (const auto* delta = std::get_if<OwnerTableDeltaFrame>(&frame)) {
    ports_.on_owner_table_delta(stream->sender.name, *delta);
  } else if (const auto* snapshot = std::get_if<ClusterSnapshotFrame>(&frame)) {
    if (stream->snapshot_requested_at) {
      ports_.on_snapshot(*snapshot, *stream->snapshot_requested_at);
    }
  } else if (const auto* crashes = std::get_if<ServerCrashesFrame>(&frame)) {
    ports_.on_server_crashes(*crashes);
  } else if (auto* call = std::get_if<StoreCallFrame>(&frame)) {
    onStoreCall(id, std::move(*call));
  } else if (const auto* question = std::get_if<QuotaRequestFrame>(&frame)) {
    stream->send(ports_.answer_quota_request(*question));
  } else if (const auto* plan = std::get_if<PlacementPlanFrame>(&frame)) {
    ports_.on_placement_plan(stream->sender.name, *plan);
    ForwardReplyFrame load_report;
    load_report.exchange = kLoadReportExchange;
    load_report.load = ports_.gate->load();
    stateLink(load_report.load);
    load_report.sent_at_us = ports_.clock->now().time_since_epoch().count();
    stream->send(std::move(load_report));
  } else if (const auto* edits = std::get_if<TableEditsFrame>(&frame)) {
    onTableEdits(id, *edits);
  } else if (std::holds_alternative<UnknownFrame>(frame)) {
    ports_.on_unknown_frame(stream->sender.name, !std::exchange(stream->received_unknown_frame, true));
  }
}

std::shared_ptr<TransitDelay> PeerServer::transitDelayOf(const NodeIdentity& sender) {
  std::erase_if(transit_delays_, [&sender](const auto& entry) {
    return entry.first.name == sender.name && entry.first.incarnation != sender.incarnation;
  });
  std::shared_ptr<TransitDelay>& delay = transit_delays_[sender];
  if (!delay) {
    delay = std::make_shared<TransitDelay>();
  }
  return delay;
}

void PeerServer::onForward(Stream& stream, ForwardFrame frame) {
  const TimePoint now = ports_.clock->now();
  const Duration sent_at(frame.sent_at_us);
  const bool small = frame.http.body.size() < kMinPacedMessageBytes;
  const Duration lateness =
      small ? stream.transit_delay->onSmallFrame(sent_at, now) : stream.transit_delay->onFrame(sent_at, now);
  stream.arrived.add({std::move(frame), now, lateness});
}

void PeerServer::onCancel(Stream& stream, ExchangeId exchange) {
  if (stream.arrived.cancel(exchange)) {
    return;
  }
  const auto request = active_requests_.find({stream.sender, exchange});
  if (request != active_requests_.end()) {
    ports_.gate->cancel(request->second.ticket);
    active_requests_.erase(request);
  }
  const auto transfer = stream.transfers.extract(exchange);
  if (!transfer.empty()) {
    ports_.pacer->cancel(transfer.mapped());
  }
}

void PeerServer::beginDueRequests(StreamId id) {
  Stream* stream = find(id);
  if (stream == nullptr || stream->arrived.empty()) {
    return;
  }
  for (ArrivedRequest& request :
       stream->arrived.takeDue(stream->transport.readBytes(), stream->transport.arrivedBytes())) {
    begin(id, *stream, std::move(request));
  }
}

void PeerServer::begin(StreamId id, const Stream& stream, ArrivedRequest request) {
  ForwardFrame& frame = request.frame;
  const RequestKey key{stream.sender, frame.exchange};
  if (rejected_requests_.contains(key)) {
    return;
  }
  active_requests_[key] = {id, 0};
  const Duration on_the_way = request.lateness + (ports_.clock->now() - request.read_at);
  frame.remaining_us -= on_the_way.count();
  frame.elapsed_us += on_the_way.count();
  if (frame.remaining_us <= 0) {
    refuseLate(key, request);
    return;
  }
  if (!ports_.authenticate(frame)) {
    ForwardReplyFrame refusal;
    refusal.outcome = ForwardOutcome::NotRun;
    refusal.reason = ForwardReason::ServerRefused;
    onReply(key, std::move(refusal));
    return;
  }
  // The reply callback may run before `forward` returns.
  const QueueTicket ticket =
      ports_.gate->forward(std::move(frame), [this, key](ForwardReplyFrame reply) { onReply(key, std::move(reply)); });
  const auto active = active_requests_.find(key);
  if (active != active_requests_.end()) {
    active->second.ticket = ticket;
  }
}

void PeerServer::refuseLate(const RequestKey& key, const ArrivedRequest& request) {
  ports_.on_late_request(key.sender.name, request.frame, request.lateness);
  ForwardReplyFrame refusal;
  refusal.outcome = ForwardOutcome::NotRun;
  refusal.reason = ForwardReason::Overloaded;
  refusal.retry_after_us = request.lateness.count();
  refusal.load = ports_.gate->load();
  onReply(key, std::move(refusal));
}

void PeerServer::onForwardPart(StreamId id, Stream& stream, const ForwardPartFrame& part) {
  const PartResult result = assembler_.add(id, part);
  if (result.verdict == PartVerdict::Refused) {
    ports_.on_parts_refused(stream.sender.name, assembler_.heldBytes());
    ForwardReplyFrame refusal;
    refusal.exchange = part.exchange;
    refusal.outcome = ForwardOutcome::NotRun;
    refusal.reason = ForwardReason::Overloaded;
    stream.send(refusal);
    return;
  }
  if (result.verdict != PartVerdict::Complete) {
    return;
  }
  auto frame = decodeRouterFrame(result.bytes, stream.version());
  auto* forward = frame ? std::get_if<ForwardFrame>(&frame.value()) : nullptr;
  if (forward == nullptr || forward->exchange != part.exchange) {
    stream.transport.abort();
    return;
  }
  onForward(stream, std::move(*forward));
}

void PeerServer::stateLink(ServerLoad& load) const {
  load.link_kbytes_per_s = ports_.pacer->kilobytesPerSecond();
  load.arrival_delay_ms =
      static_cast<std::uint32_t>(std::chrono::floor<std::chrono::milliseconds>(arrivalDelay()).count());
}

void PeerServer::onReply(const RequestKey& key, ForwardReplyFrame reply) {
  const auto found = active_requests_.find(key);
  if (found == active_requests_.end()) {
    return;
  }
  const StreamId id = found->second.stream;
  active_requests_.erase(found);
  reply.exchange = key.exchange;
  reply.known = ports_.known_revisions();
  stateLink(reply.load);
  Stream* stream = id == 0 ? nullptr : find(id);
  if (stream != nullptr && !stream->ended) {
    stream->answered_exchanges.push_back(reply.exchange);
    if (stream->answered_exchanges.size() > kMaxRememberedReplies) {
      stream->answered_exchanges.pop_front();
    }
    sendReply(id, *stream, std::move(reply));
    return;
  }
  unsent_replies_[key] = std::move(reply);
  loop_.runAfter(kOrphanTimeout, [this, alive = alive_, key] {
    if (*alive && unsent_replies_.erase(key) > 0) {
      rememberEnded(key);
    }
  });
}

void PeerServer::sendReply(StreamId id, Stream& stream, ForwardReplyFrame reply) {
  const ExchangeId exchange = reply.exchange;
  reply.sent_at_us = ports_.clock->now().time_since_epoch().count();
  const RouterFrame frame(std::move(reply));
  std::string bytes = encodeRouterFrame(frame, stream.version());
  if (!ports_.pacer->isLimited() || bytes.size() < kMinPacedMessageBytes) {
    ports_.pacer->recordSent(bytes.size());
    stream.sendEncodedReply(frame, std::move(bytes));
    return;
  }
  sendParts(id, stream, exchange, std::move(bytes));
}

void PeerServer::sendParts(StreamId id, Stream& stream, ExchangeId exchange, std::string bytes) {
  const std::size_t size = bytes.size();
  const auto finished = std::make_shared<bool>(false);
  const auto write = [this, alive = alive_, id, exchange, finished, bytes = std::move(bytes),
                      written = std::size_t{0}](std::size_t max_bytes) mutable -> std::size_t {
    Stream* to = *alive ? find(id) : nullptr;
    if (to == nullptr || to->ended) {
      return 0;
    }
    const std::size_t piece = std::min(max_bytes, bytes.size() - written);
    const bool last = written + piece == bytes.size();
    const RouterFrame part(ReplyPartFrame{exchange, bytes.substr(written, piece), last});
    written += piece;
    if (last) {
      *finished = true;
      to->transfers.erase(exchange);
    }
    return to->sendEncodedReply(part, encodeRouterFrame(part, to->version())) ? piece : 0;
  };
  const TransferId transfer = ports_.pacer->start(size, write);
  // The whole reply may have been written inside the call.
  if (!*finished) {
    stream.transfers[exchange] = transfer;
  }
}

void PeerServer::onExchangeQuery(StreamId id, Stream& stream, const ExchangeQueryFrame& query) {
  const RequestKey key{{stream.sender.name, query.incarnation}, query.exchange};
  const auto reply = unsent_replies_.find(key);
  if (reply != unsent_replies_.end()) {
    sendReply(id, stream, std::move(reply->second));
    unsent_replies_.erase(reply);
    rememberEnded(key);
    return;
  }
  const auto request = active_requests_.find(key);
  if (request != active_requests_.end()) {
    request->second.stream = id;
    stream.send(ExchangeQueryReplyFrame{query.exchange, ExchangeState::Pending});
    return;
  }
  if (hasEnded(key)) {
    stream.send(ExchangeQueryReplyFrame{query.exchange, ExchangeState::Answered});
    return;
  }
  rejected_requests_[key] = true;
  loop_.runAfter(kEndedStreamRetention, [this, alive = alive_, key] {
    if (*alive) {
      rejected_requests_.erase(key);
    }
  });
  stream.send(ExchangeQueryReplyFrame{query.exchange, ExchangeState::NotStarted});
}

void PeerServer::onTableEdits(StreamId id, const TableEditsFrame& edits) {
  ports_.write_table_edits(edits, [this, alive = alive_, id, known = edits.known](const TableEditsReplyFrame& reply) {
    Stream* stream = *alive ? find(id) : nullptr;
    if (stream == nullptr) {
      return;
    }
    // The sender needs the table for its next step, so it comes first.
    const auto newer = reply.decided ? ports_.answer_table_request(known) : std::nullopt;
    if (newer) {
      stream->send(*newer);
    }
    stream->send(reply);
  });
}

void PeerServer::onStoreCall(StreamId id, StoreCallFrame call) {
  const ExchangeId exchange = call.exchange;
  ports_.call_store({std::move(call.http), Duration(call.timeout_us)},
                    [this, alive = alive_, id, exchange](const std::optional<HttpResponse>& answer) {
                      Stream* stream = *alive ? find(id) : nullptr;
                      if (stream != nullptr) {
                        stream->send(StoreReplyFrame{exchange, answer.has_value(), answer.value_or(HttpResponse{})});
                      }
                    });
}

void PeerServer::onStreamEnd(StreamId id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  const NodeIdentity sender = found->second->sender;
  ended_streams_[id] = {sender, std::move(found->second->answered_exchanges)};
  loop_.runAfter(kEndedStreamRetention, [this, alive = alive_, id] {
    if (*alive) {
      ended_streams_.erase(id);
    }
  });
  streams_.erase(found);
  assembler_.onStreamEnd(id);
  bool orphaned = false;
  for (auto& [key, request] : active_requests_) {
    if (request.stream == id) {
      request.stream = 0;
      orphaned = true;
    }
  }
  if (orphaned) {
    loop_.runAfter(kOrphanTimeout, [this, alive = alive_, sender] {
      if (*alive) {
        cancelOrphans(sender);
      }
    });
  }
}

bool PeerServer::hasEnded(const RequestKey& key) const {
  if (ended_requests_.contains(key)) {
    return true;
  }
  const auto holds = [&key](const NodeIdentity& sender, const std::deque<ExchangeId>& answered) {
    return sender == key.sender && std::find(answered.begin(), answered.end(), key.exchange) != answered.end();
  };
  const bool live = std::any_of(streams_.begin(), streams_.end(), [&](const auto& entry) {
    return holds(entry.second->sender, entry.second->answered_exchanges);
  });
  return live || std::any_of(ended_streams_.begin(), ended_streams_.end(), [&](const auto& entry) {
           return holds(entry.second.sender, entry.second.answered_exchanges);
         });
}

void PeerServer::cancelOrphans(const NodeIdentity& sender) {
  std::vector<RequestKey> orphans;
  for (const auto& [key, request] : active_requests_) {
    if (key.sender == sender && request.stream == 0) {
      orphans.push_back(key);
    }
  }
  for (const RequestKey& key : orphans) {
    ports_.gate->cancel(active_requests_.at(key).ticket);
    active_requests_.erase(key);
    rememberEnded(key);
  }
}

void PeerServer::rememberEnded(const RequestKey& key) {
  ended_requests_.insert(key);
  loop_.runAfter(kEndedRequestRetention, [this, alive = alive_, key] {
    if (*alive) {
      ended_requests_.erase(key);
    }
  });
}

}  // namespace shedlever
