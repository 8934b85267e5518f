#include "source/router/peer_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/router/peer_stream_options.h"

namespace shedlever {

namespace {

/// How long a request outlives its stream.
constexpr Duration kOrphanTimeout = std::chrono::milliseconds(900);
/// A request on a broken stream may still be read so long after it.
constexpr Duration kEndedStreamRetention = std::chrono::seconds(10);
constexpr std::size_t kMaxRememberedReplies = 1024;

}  // namespace

struct PeerServer::Stream final : public MessageStreamCallbacks {
  Stream(PeerServer& owner, StreamId its_number, evutil_socket_t socket)
      : server(owner), number(its_number), stream(owner.loop_, socket, peerStreamOptions(), *this) {}

  void onMessage(std::string_view message) override {
    auto frame = decodeRouterFrame(message);
    if (!frame) {
      stream.abort();
      return;
    }
    server.onFrame(number, std::move(frame.value()));
  }

  void onClosed() override {
    ended = true;
    server.loop_.post([owner = &server, alive = server.alive_, its_number = number] {
      if (*alive) {
        owner->onStreamEnd(its_number);
      }
    });
  }

  bool send(const RouterFrame& frame) {
    std::string bytes = encodeRouterFrame(frame);
    server.ports_.pacer->recordSent(bytes.size());
    return sendEncoded(std::move(bytes));
  }

  bool sendEncoded(std::string bytes) { return !ended && stream.send(std::move(bytes)); }

  PeerServer& server;
  StreamId number;
  MessageStream stream;
  /// Known after its hello.
  NodeIdentity sender;
  /// The other end means another node, which had this address before: nothing is taken from it.
  bool misdirected = false;
  /// The last replies that were written to it.
  std::deque<ExchangeId> answered_exchanges;
  /// Large replies that are being written.
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
  const StreamId number = ++last_stream_id_;
  streams_.emplace(number, std::make_unique<Stream>(*this, number, socket));
}

PeerServer::Stream* PeerServer::find(StreamId number) {
  const auto found = streams_.find(number);
  return found == streams_.end() ? nullptr : found->second.get();
}

void PeerServer::broadcastStopping(const NodeName& self) {
  for (const auto& [number, stream] : streams_) {
    stream->send(StoppingFrame{self});
  }
}

void PeerServer::broadcastServerCrashes(const ServerCrashesFrame& news) {
  for (const auto& [number, stream] : streams_) {
    if (!stream->misdirected && !stream->sender.name.empty()) {
      stream->send(news);
    }
  }
}

std::size_t PeerServer::unsentBytes() const {
  std::size_t bytes = 0;
  for (const auto& [number, stream] : streams_) {
    bytes += stream->ended ? 0 : stream->stream.unsentBytes();
  }
  return bytes;
}

void PeerServer::onFrame(StreamId number, RouterFrame frame) {
  Stream* stream = find(number);
  if (stream == nullptr) {
    return;
  }
  if (stream->misdirected) {
    return;
  }
  if (auto* forward = std::get_if<ForwardFrame>(&frame)) {
    onForward(number, *stream, std::move(*forward));
  } else if (const auto* cancel = std::get_if<CancelForwardFrame>(&frame)) {
    const auto work = active_requests_.find({stream->sender, cancel->exchange});
    if (work != active_requests_.end()) {
      ports_.gate->cancel(work->second.ticket);
      active_requests_.erase(work);
    }
    const auto transfer = stream->transfers.extract(cancel->exchange);
    if (!transfer.empty()) {
      ports_.pacer->cancel(transfer.mapped());
    }
  } else if (const auto* hello = std::get_if<HelloFrame>(&frame)) {
    stream->sender = {hello->node, hello->incarnation};
    stream->misdirected = hello->expected_node != ports_.self.name;
    const bool asks_for_state = !stream->misdirected && ports_.needs_state();
    stream->send(HelloFrame{ports_.self.name, ports_.self.incarnation, asks_for_state, {}});
    const ServerCrashesFrame ends = ports_.server_ends();
    if (!stream->misdirected && !ends.empty()) {
      stream->send(ends);
    }
  } else if (std::holds_alternative<PingFrame>(frame)) {
    stream->send(PongFrame{});
  } else if (const auto* stopping = std::get_if<StoppingFrame>(&frame)) {
    ports_.on_stopping(stopping->node);
  } else if (const auto* settle = std::get_if<ExchangeQueryFrame>(&frame)) {
    onSettle(number, *stream, *settle);
  } else if (const auto* question = std::get_if<OwnerTableRequestFrame>(&frame)) {
    if (auto newer = ports_.table_newer_than(question->known)) {
      stream->send(OwnerTableFrame{std::move(*newer)});
    }
  } else if (const auto* asked = std::get_if<ConfigRequestFrame>(&frame)) {
    if (auto newer = ports_.config_newer_than(asked->known)) {
      stream->send(std::move(*newer));
    }
  } else if (const auto* table = std::get_if<OwnerTableFrame>(&frame)) {
    ports_.on_owner_table(*table);
  } else if (const auto* state = std::get_if<ClusterSnapshotFrame>(&frame)) {
    ports_.on_state(*state);
  } else if (const auto* ends = std::get_if<ServerCrashesFrame>(&frame)) {
    ports_.on_server_ends(*ends);
  } else if (auto* call = std::get_if<StoreCallFrame>(&frame)) {
    onStoreCall(number, std::move(*call));
  }
}

void PeerServer::onForward(StreamId number, Stream& stream, ForwardFrame frame) {
  const RequestKey key{stream.sender, frame.exchange};
  if (rejected_requests_.contains(key)) {
    return;
  }
  active_requests_[key] = {number, 0};
  // The reply may come inside the call.
  const QueueTicket ticket =
      ports_.gate->forward(std::move(frame), [this, key](ForwardReplyFrame reply) { onReply(key, std::move(reply)); });
  const auto work = active_requests_.find(key);
  if (work != active_requests_.end()) {
    work->second.ticket = ticket;
  }
}

void PeerServer::onReply(const RequestKey& key, ForwardReplyFrame reply) {
  const auto found = active_requests_.find(key);
  if (found == active_requests_.end()) {
    return;
  }
  const StreamId number = found->second.stream;
  active_requests_.erase(found);
  reply.exchange = key.exchange;
  reply.known = ports_.known_revisions();
  Stream* stream = number == 0 ? nullptr : find(number);
  if (stream != nullptr && !stream->ended) {
    stream->answered_exchanges.push_back(reply.exchange);
    if (stream->answered_exchanges.size() > kMaxRememberedReplies) {
      stream->answered_exchanges.pop_front();
    }
    sendReply(number, *stream, std::move(reply));
    return;
  }
  unsent_replies_[key] = std::move(reply);
  loop_.runAfter(kOrphanTimeout, [this, alive = alive_, key] {
    if (*alive) {
      unsent_replies_.erase(key);
    }
  });
}

void PeerServer::sendReply(StreamId number, Stream& stream, ForwardReplyFrame reply) {
  const ExchangeId exchange = reply.exchange;
  std::string bytes = encodeRouterFrame(std::move(reply));
  if (!ports_.pacer->isLimited() || bytes.size() < kMinPacedMessageBytes) {
    ports_.pacer->recordSent(bytes.size());
    stream.sendEncoded(std::move(bytes));
    return;
  }
  sendParts(number, stream, exchange, std::move(bytes));
}

void PeerServer::sendParts(StreamId number, Stream& stream, ExchangeId exchange, std::string bytes) {
  const std::size_t size = bytes.size();
  const auto write = [this, alive = alive_, number, exchange, bytes = std::move(bytes),
                      written = std::size_t{0}](std::size_t most) mutable -> std::size_t {
    Stream* to = *alive ? find(number) : nullptr;
    if (to == nullptr || to->ended) {
      return 0;
    }
    const std::size_t piece = std::min(most, bytes.size() - written);
    ReplyPartFrame part{exchange, bytes.substr(written, piece), written + piece == bytes.size()};
    written += piece;
    if (part.last) {
      to->transfers.erase(exchange);
    }
    return to->sendEncoded(encodeRouterFrame(std::move(part))) ? piece : 0;
  };
  const TransferId transfer = ports_.pacer->start(size, write);
  stream.transfers[exchange] = transfer;
}

void PeerServer::onSettle(StreamId number, Stream& stream, const ExchangeQueryFrame& settle) {
  const RequestKey key{{stream.sender.name, settle.incarnation}, settle.exchange};
  const auto reply = unsent_replies_.find(key);
  if (reply != unsent_replies_.end()) {
    sendReply(number, stream, std::move(reply->second));
    unsent_replies_.erase(reply);
    return;
  }
  const auto work = active_requests_.find(key);
  if (work != active_requests_.end()) {
    work->second.stream = number;
    stream.send(ExchangeQueryReplyFrame{settle.exchange, ExchangeState::Pending});
    return;
  }
  if (wasAnswered(key)) {
    stream.send(ExchangeQueryReplyFrame{settle.exchange, ExchangeState::Answered});
    return;
  }
  rejected_requests_[key] = true;
  loop_.runAfter(kEndedStreamRetention, [this, alive = alive_, key] {
    if (*alive) {
      rejected_requests_.erase(key);
    }
  });
  stream.send(ExchangeQueryReplyFrame{settle.exchange, ExchangeState::NotStarted});
}

void PeerServer::onStoreCall(StreamId number, StoreCallFrame call) {
  const ExchangeId exchange = call.exchange;
  ports_.call_store({std::move(call.http), Duration(call.timeout_us)},
                    [this, alive = alive_, number, exchange](const std::optional<HttpResponse>& answer) {
                      Stream* stream = *alive ? find(number) : nullptr;
                      if (stream != nullptr) {
                        stream->send(StoreReplyFrame{exchange, answer.has_value(), answer.value_or(HttpResponse{})});
                      }
                    });
}

void PeerServer::onStreamEnd(StreamId number) {
  const auto found = streams_.find(number);
  if (found == streams_.end()) {
    return;
  }
  const NodeIdentity sender = found->second->sender;
  ended_streams_[number] = {sender, std::move(found->second->answered_exchanges)};
  loop_.runAfter(kEndedStreamRetention, [this, alive = alive_, number] {
    if (*alive) {
      ended_streams_.erase(number);
    }
  });
  streams_.erase(found);
  bool orphaned = false;
  for (auto& [key, work] : active_requests_) {
    if (work.stream == number) {
      work.stream = 0;
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

bool PeerServer::wasAnswered(const RequestKey& key) const {
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
  for (const auto& [key, work] : active_requests_) {
    if (key.sender == sender && work.stream == 0) {
      orphans.push_back(key);
    }
  }
  for (const RequestKey& key : orphans) {
    ports_.gate->cancel(active_requests_.at(key).ticket);
    active_requests_.erase(key);
  }
}

}  // namespace shedlever
