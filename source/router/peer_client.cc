#include "source/router/peer_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/router/peer_stream_options.h"

namespace shedlever {

namespace {

/// A node that can't be reached is tried again after so long.
constexpr Duration kReconnectDelay = std::chrono::milliseconds(500);
/// A request is given up when the other process does not say so soon what became of it.
constexpr Duration kSilenceCheckInterval = std::chrono::milliseconds(100);
/// A node that says nothing for so long, while requests wait for it, is asked whether it is there ...
constexpr Duration kPingAfterSilence = std::chrono::milliseconds(300);
/// ... and counts as lost when it does not answer that in this time.
constexpr Duration kPongTimeout = std::chrono::milliseconds(500);
constexpr Duration kOutcomeTimeout = std::chrono::milliseconds(700);

}  // namespace

/// One stream and what was sent on it, in order.
struct PeerClient::Stream final : public MessageStreamCallbacks {
  Stream(PeerClient& owner, NodeName to, const Endpoint& endpoint)
      : client(owner), node(std::move(to)), stream(owner.loop_, endpoint, peerStreamOptions(), *this) {}

  void onMessage(std::string_view message) override {
    last_received_at = client.clock_.now();
    pinged_at = {};
    auto frame = decodeRouterFrame(message);
    if (!frame || (!up && !acceptHello(frame.value()))) {
      stream.abort();
      return;
    }
    client.onFrame(node, std::move(frame.value()));
  }

  /// The first frame tells who is there.
  /// @return false when it is another node, or does not say.
  bool acceptHello(const RouterFrame& first) {
    const auto* hello = std::get_if<HelloFrame>(&first);
    if (hello == nullptr || hello->node != node) {
      misdirected = hello != nullptr;
      return false;
    }
    up = true;
    incarnation = hello->incarnation;
    client.onStreamUp(*this);
    return true;
  }

  void onClosed() override {
    // The stream must not be destroyed by what follows while its own callback runs.
    ended = true;
    client.loop_.post([owner = &client, alive = client.alive_, to = node] {
      if (!*alive) {
        return;
      }
      const auto found = owner->streams_.find(to);
      if (found != owner->streams_.end() && found->second->ended) {
        const std::unique_ptr<Stream> link = std::move(found->second);
        owner->streams_.erase(found);
        owner->onStreamEnd(*link);
      }
    });
  }

  /// @param exchange 0 for frames that are no requests.
  bool send(const RouterFrame& frame, ExchangeId exchange) {
    if (ended || !stream.send(encodeRouterFrame(frame))) {
      return false;
    }
    sent_exchanges.push_back(exchange);
    constexpr std::size_t kMaxRememberedExchanges = 4096;
    if (sent_exchanges.size() > kMaxRememberedExchanges) {
      sent_exchanges.pop_front();
    }
    return true;
  }

  PeerClient& client;
  NodeName node;
  MessageStream stream;
  std::deque<ExchangeId> sent_exchanges;
  /// What has come of large replies.
  std::unordered_map<ExchangeId, std::string> partial_replies;
  TimePoint last_received_at{};
  /// When the question that waits for its answer was sent; zero when there is none.
  TimePoint pinged_at{};
  /// The node's process is there and has said so.
  bool up = false;
  /// Its life; valid while `up`.
  Incarnation incarnation;
  /// Another node's process is there, which takes nothing from this stream.
  bool misdirected = false;
  bool ended = false;
};

PeerClient::PeerClient(EventLoop& loop, const Clock& clock, NodeIdentity self, ServerDirectory& directory,
                       Events events)
    : loop_(loop), clock_(clock), self_(std::move(self)), directory_(directory), events_(std::move(events)) {}

PeerClient::~PeerClient() {
  *alive_ = false;
  for (const auto& [exchange, call] : store_calls_) {
    loop_.cancel(call.timer);
  }
}

PeerClient::Stream* PeerClient::streamTo(const NodeName& node) {
  const auto found = streams_.find(node);
  if (found != streams_.end()) {
    return found->second->ended ? nullptr : found->second.get();
  }
  const NodeRecord* record = directory_.node(node);
  if (record == nullptr) {
    return nullptr;
  }
  auto link = std::make_unique<Stream>(*this, node, record->peer);
  Stream* raw = link.get();
  streams_.emplace(node, std::move(link));
  raw->send(HelloFrame{self_.name, self_.incarnation, false, node}, 0);
  return raw;
}

void PeerClient::ensureConnected(const NodeName& node) { streamTo(node); }

ExchangeId PeerClient::forward(const NodeName& node, ForwardFrame frame, ForwardCallback done) {
  const ExchangeId exchange = ++last_exchange_;
  frame.exchange = exchange;
  PendingRequest& pending = pending_[exchange];
  pending.node = node;
  pending.done = std::move(done);
  pending.sent_at = clock_.now();
  pending.retryable = isRepeatable(frame.kind);
  Stream* link = streamTo(node);
  if (link == nullptr || !link->send(std::move(frame), exchange)) {
    loop_.post([this, alive = alive_, exchange] {
      if (*alive) {
        finish(exchange, ForwardOutcome::NotRun, ForwardReason::ConnectionLost);
      }
    });
  }
  scheduleSilenceCheck();
  return exchange;
}

void PeerClient::scheduleSilenceCheck() {
  if (silence_check_scheduled_ || pending_.empty()) {
    return;
  }
  silence_check_scheduled_ = true;
  loop_.runAfter(kSilenceCheckInterval, [this, alive = alive_] {
    if (*alive) {
      silence_check_scheduled_ = false;
      checkSilence();
      scheduleSilenceCheck();
    }
  });
}

void PeerClient::checkSilence() {
  const TimePoint now = clock_.now();
  std::map<NodeName, TimePoint> waiting_since;
  for (const auto& [exchange, pending] : pending_) {
    TimePoint& since = waiting_since.try_emplace(pending.node, pending.sent_at).first->second;
    since = std::min(since, pending.sent_at);
  }
  for (const auto& [node, since] : waiting_since) {
    const auto found = streams_.find(node);
    if (found == streams_.end() || found->second->ended) {
      continue;
    }
    Stream& link = *found->second;
    if (link.pinged_at != TimePoint{}) {
      if (now - link.pinged_at >= kPongTimeout) {
        abandonSilentPeer(link);
      }
    } else if (now - std::max(since, link.last_received_at) >= kPingAfterSilence) {
      link.pinged_at = now;
      link.send(PingFrame{}, 0);
    }
  }
}

void PeerClient::abandonSilentPeer(Stream& link) {
  directory_.markUnreachable(link.node);
  events_.on_reachable(link.node, false);
  const std::vector<ExchangeId> open = pendingAt(link.node);
  link.stream.abort();
  // Others are settled once the node can be reached again.
  for (const ExchangeId exchange : open) {
    const auto found = pending_.find(exchange);
    if (found != pending_.end() && found->second.retryable) {
      finish(exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
    }
  }
}

std::vector<ExchangeId> PeerClient::pendingAt(const NodeName& node) const {
  std::vector<ExchangeId> open;
  for (const auto& [exchange, pending] : pending_) {
    if (pending.node == node) {
      open.push_back(exchange);
    }
  }
  return open;
}

void PeerClient::cancel(ExchangeId exchange) {
  const auto found = pending_.find(exchange);
  if (found == pending_.end()) {
    return;
  }
  const auto link = streams_.find(found->second.node);
  if (link != streams_.end() && !link->second->ended) {
    link->second->send(CancelForwardFrame{exchange}, 0);
  }
  pending_.erase(found);
}

void PeerClient::callStore(const NodeName& node, HttpRequest request, Duration timeout, StoreCallback done) {
  const ExchangeId exchange = ++last_exchange_;
  PendingStoreCall& call = store_calls_[exchange];
  call.node = node;
  call.done = std::move(done);
  call.timer = loop_.runAfter(timeout, [this, exchange] {
    auto ended = store_calls_.extract(exchange);
    ended.mapped().done(std::nullopt);
  });
  Stream* link = streamTo(node);
  if (link != nullptr) {
    link->send(StoreCallFrame{exchange, timeout.count(), std::move(request)}, 0);
  }
}

std::vector<NodeName> PeerClient::connectedNodes() const {
  std::vector<NodeName> nodes;
  for (const auto& [node, link] : streams_) {
    if (link->up && !link->ended) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

void PeerClient::send(const NodeName& node, const RouterFrame& frame) {
  if (Stream* link = streamTo(node)) {
    link->send(frame, 0);
  }
}

void PeerClient::broadcastStopping() {
  for (const auto& [node, link] : streams_) {
    link->send(StoppingFrame{self_.name}, 0);
  }
}

void PeerClient::broadcastServerCrashes(const ServerCrashesFrame& news) {
  for (const auto& [node, link] : streams_) {
    if (link->up) {
      link->send(news, 0);
    }
  }
}

void PeerClient::onFrame(const NodeName& node, RouterFrame frame) {
  if (auto* reply = std::get_if<ForwardReplyFrame>(&frame)) {
    onReply(std::move(*reply));
  } else if (const auto* part = std::get_if<ReplyPartFrame>(&frame)) {
    onReplyPart(node, *part);
  } else if (const auto* settled = std::get_if<ExchangeQueryReplyFrame>(&frame)) {
    onExchangeQueryReply(*settled);
  } else if (std::holds_alternative<StoppingFrame>(frame)) {
    directory_.markDraining(node);
  } else if (const auto* hello = std::get_if<HelloFrame>(&frame)) {
    if (hello->needs_state) {
      events_.on_snapshot_requested(node);
    }
  } else if (const auto* table = std::get_if<OwnerTableFrame>(&frame)) {
    events_.on_owner_table(*table);
  } else if (const auto* config = std::get_if<ConfigFrame>(&frame)) {
    events_.on_config(*config);
  } else if (const auto* ends = std::get_if<ServerCrashesFrame>(&frame)) {
    events_.on_server_ends(*ends);
  } else if (auto* answer = std::get_if<StoreReplyFrame>(&frame)) {
    auto call = store_calls_.extract(answer->exchange);
    if (!call.empty()) {
      loop_.cancel(call.mapped().timer);
      call.mapped().done(answer->answered ? std::optional<HttpResponse>(std::move(answer->http)) : std::nullopt);
    }
  }
}

void PeerClient::onReplyPart(const NodeName& node, const ReplyPartFrame& part) {
  const auto found = streams_.find(node);
  if (found == streams_.end()) {
    return;
  }
  auto& partial_replies = found->second->partial_replies;
  if (!pending_.contains(part.exchange)) {
    partial_replies.erase(part.exchange);
    return;
  }
  std::string& bytes = partial_replies[part.exchange];
  bytes += part.bytes;
  const bool too_long = bytes.size() > peerStreamOptions().max_message_bytes;
  if (!part.last && !too_long) {
    return;
  }
  auto frame = decodeRouterFrame(bytes);
  partial_replies.erase(part.exchange);
  auto* reply = frame ? std::get_if<ForwardReplyFrame>(&frame.value()) : nullptr;
  if (reply == nullptr || too_long) {
    found->second->stream.abort();
    return;
  }
  onReply(std::move(*reply));
}

void PeerClient::onReply(ForwardReplyFrame reply) {
  auto node = pending_.extract(reply.exchange);
  if (node.empty()) {
    return;
  }
  if (reply.known.lease_left_us > 0) {
    // What was left when the reply was made: not before the request was sent, and not after the reply came.
    const Duration left(reply.known.lease_left_us);
    const PeerLease lease{reply.known.lease_revision, node.mapped().sent_at + left, clock_.now() + left};
    events_.on_lease(node.mapped().node, lease);
  }
  // What the node knows was the newest that long before it made the reply, which was after the request was sent.
  // Counted from when the reply came, each hop would make it newer by the time on its way, and processes that tell each
  // other what none of them has asked the store for would take it for new for ever.
  const Duration since_sent = clock_.now() - node.mapped().sent_at;
  reply.known.config.staleness_us += since_sent.count();
  reply.known.nodes.staleness_us += since_sent.count();
  node.mapped().done(std::move(reply));
}

void PeerClient::onExchangeQueryReply(const ExchangeQueryReplyFrame& settled) {
  switch (settled.state) {
    case ExchangeState::NotStarted:
      finish(settled.exchange, ForwardOutcome::NotRun, ForwardReason::ConnectionLost);
      return;
    case ExchangeState::Answered:
      finish(settled.exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
      return;
    case ExchangeState::Pending:
      return;
  }
}

void PeerClient::onStreamUp(Stream& link) {
  directory_.onReachable(link.node);
  events_.on_reachable(link.node, true);
  const ServerCrashesFrame ends = events_.server_ends();
  if (!ends.empty()) {
    link.send(ends, 0);
  }
  requestOutcomes(link);
}

void PeerClient::finish(ExchangeId exchange, ForwardOutcome outcome, ForwardReason reason) {
  ForwardReplyFrame reply;
  reply.exchange = exchange;
  reply.outcome = outcome;
  reply.reason = reason;
  reply.reached_server = outcome == ForwardOutcome::Unknown;
  onReply(std::move(reply));
}

void PeerClient::onStreamEnd(Stream& link) {
  const NodeName node = link.node;
  const bool was_up = link.up;
  if (!was_up) {
    directory_.markUnreachable(node);
    events_.on_reachable(node, false);
  }
  std::vector<ExchangeId> unsent;
  const std::size_t count = std::min(link.stream.unsentMessages(), link.sent_exchanges.size());
  for (auto exchange = link.sent_exchanges.end() - static_cast<std::ptrdiff_t>(count);
       exchange != link.sent_exchanges.end(); ++exchange) {
    if (*exchange != 0) {
      unsent.push_back(*exchange);
    }
  }
  for (const ExchangeId exchange : unsent) {
    finish(exchange, ForwardOutcome::NotRun, ForwardReason::ConnectionLost);
  }
  const std::vector<ExchangeId> open = pendingAt(node);
  if (open.empty()) {
    // A process that comes back may need what this one knows.
    scheduleReconnect(node, was_up);
    return;
  }
  if (!was_up) {
    finishUnresolved(open, link.misdirected);
    scheduleReconnect(node, false);
    return;
  }
  streamTo(node);
  for (const ExchangeId exchange : open) {
    pending_.at(exchange).receiver_incarnation = link.incarnation;
    scheduleOutcomeTimeout(exchange);
  }
}

void PeerClient::finishUnresolved(const std::vector<ExchangeId>& open, bool misdirected) {
  for (const ExchangeId exchange : open) {
    const auto found = pending_.find(exchange);
    if (found == pending_.end()) {
      continue;
    }
    if (misdirected && !found->second.receiver_incarnation) {
      // Another node's process has it, and takes nothing that is not meant for it.
      finish(exchange, ForwardOutcome::NotRun, ForwardReason::ServerDown);
    } else {
      // A second stream failed as well: nobody can say what became of it.
      finish(exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
    }
  }
}

void PeerClient::requestOutcomes(Stream& link) {
  for (const ExchangeId exchange : pendingAt(link.node)) {
    const auto found = pending_.find(exchange);
    if (found == pending_.end() || !found->second.receiver_incarnation || found->second.outcome_requested) {
      continue;
    }
    if (*found->second.receiver_incarnation != link.incarnation) {
      // The life that could tell is over.
      finish(exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
      continue;
    }
    found->second.outcome_requested = true;
    link.send(ExchangeQueryFrame{exchange, self_.incarnation}, 0);
  }
}

void PeerClient::scheduleOutcomeTimeout(ExchangeId exchange) {
  loop_.runAfter(kOutcomeTimeout, [this, alive = alive_, exchange] {
    if (!*alive) {
      return;
    }
    const auto found = pending_.find(exchange);
    if (found == pending_.end()) {
      return;
    }
    const auto current = streams_.find(found->second.node);
    if (current == streams_.end() || !current->second->up) {
      finish(exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
    }
  });
}

void PeerClient::scheduleReconnect(const NodeName& node, bool anyway) {
  loop_.runAfter(kReconnectDelay, [this, alive = alive_, node, anyway] {
    if (*alive && (anyway || directory_.isUnreachable(node))) {
      streamTo(node);
    }
  });
}

}  // namespace shedlever
