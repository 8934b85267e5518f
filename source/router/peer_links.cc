#include "source/router/peer_links.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/router/peer_options.h"

namespace shedlever {

namespace {

/// A node that can't be reached is tried again after so long.
constexpr Duration kReconnectDelay = std::chrono::milliseconds(500);
/// A request is given up when the other process does not say so soon what became of it.
constexpr Duration kSilenceCheck = std::chrono::milliseconds(100);
/// A node that says nothing for so long, while requests wait for it, is asked whether it is there ...
constexpr Duration kQuietLimit = std::chrono::milliseconds(300);
/// ... and counts as lost when it does not answer that in this time.
constexpr Duration kPongLimit = std::chrono::milliseconds(500);
constexpr Duration kSettleLimit = std::chrono::milliseconds(700);

}  // namespace

/// One stream and what was sent on it, in order.
struct PeerLinks::Link final : public MessageStreamCallbacks {
  Link(PeerLinks& owner, NodeName to, const Endpoint& endpoint)
      : links(owner), node(std::move(to)), stream(owner.loop_, endpoint, peerStreamOptions(), *this) {}

  void onMessage(std::string_view message) override {
    heard_at = links.clock_.now();
    pinged_at = {};
    auto frame = decodeRouterFrame(message);
    if (!frame || (!up && !meets(frame.value()))) {
      stream.breakNow();
      return;
    }
    links.onFrame(node, std::move(frame.value()));
  }

  /// The first frame tells who is there.
  /// @return false when it is another node, or does not say.
  bool meets(const RouterFrame& first) {
    const auto* hello = std::get_if<HelloFrame>(&first);
    if (hello == nullptr || hello->node != node) {
      misdirected = hello != nullptr;
      return false;
    }
    up = true;
    incarnation = hello->incarnation;
    links.onLinkUp(*this);
    return true;
  }

  void onEnd() override {
    // The stream must not be destroyed by what follows while its own callback runs.
    ended = true;
    links.loop_.post([owner = &links, alive = links.alive_, to = node] {
      if (!*alive) {
        return;
      }
      const auto found = owner->links_.find(to);
      if (found != owner->links_.end() && found->second->ended) {
        const std::unique_ptr<Link> link = std::move(found->second);
        owner->links_.erase(found);
        owner->onLinkEnd(*link);
      }
    });
  }

  /// @param exchange 0 for frames that are no requests.
  bool send(const RouterFrame& frame, ExchangeId exchange) {
    if (ended || !stream.send(encodeRouterFrame(frame))) {
      return false;
    }
    sent.push_back(exchange);
    constexpr std::size_t kRemembered = 4096;
    if (sent.size() > kRemembered) {
      sent.pop_front();
    }
    return true;
  }

  PeerLinks& links;
  NodeName node;
  MessageStream stream;
  std::deque<ExchangeId> sent;
  /// What has come of large replies.
  std::unordered_map<ExchangeId, std::string> parts;
  TimePoint heard_at{};
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

PeerLinks::PeerLinks(EventLoop& loop, const Clock& clock, NodeIdentity self, ServerDirectory& directory, Events events)
    : loop_(loop), clock_(clock), self_(std::move(self)), directory_(directory), events_(std::move(events)) {}

PeerLinks::~PeerLinks() {
  *alive_ = false;
  for (const auto& [exchange, call] : store_calls_) {
    loop_.cancel(call.timer);
  }
}

PeerLinks::Link* PeerLinks::linkTo(const NodeName& node) {
  const auto found = links_.find(node);
  if (found != links_.end()) {
    return found->second->ended ? nullptr : found->second.get();
  }
  const NodeRecord* record = directory_.node(node);
  if (record == nullptr) {
    return nullptr;
  }
  auto link = std::make_unique<Link>(*this, node, record->peer);
  Link* raw = link.get();
  links_.emplace(node, std::move(link));
  raw->send(HelloFrame{self_.name, self_.incarnation, false, node}, 0);
  return raw;
}

void PeerLinks::keepOpen(const NodeName& node) { linkTo(node); }

ExchangeId PeerLinks::forward(const NodeName& node, ForwardFrame frame, ForwardCallback done) {
  const ExchangeId exchange = ++last_exchange_;
  frame.exchange = exchange;
  Pending& pending = pending_[exchange];
  pending.node = node;
  pending.done = std::move(done);
  pending.sent_at = clock_.now();
  pending.repeatable = mayRepeat(frame.kind);
  Link* link = linkTo(node);
  if (link == nullptr || !link->send(std::move(frame), exchange)) {
    loop_.post([this, alive = alive_, exchange] {
      if (*alive) {
        finish(exchange, ForwardOutcome::NotRun, ForwardReason::ConnectionLost);
      }
    });
  }
  checkSilenceLater();
  return exchange;
}

void PeerLinks::checkSilenceLater() {
  if (check_planned_ || pending_.empty()) {
    return;
  }
  check_planned_ = true;
  loop_.runAfter(kSilenceCheck, [this, alive = alive_] {
    if (*alive) {
      check_planned_ = false;
      checkSilence();
      checkSilenceLater();
    }
  });
}

void PeerLinks::checkSilence() {
  const TimePoint now = clock_.now();
  std::map<NodeName, TimePoint> waiting_since;
  for (const auto& [exchange, pending] : pending_) {
    TimePoint& since = waiting_since.try_emplace(pending.node, pending.sent_at).first->second;
    since = std::min(since, pending.sent_at);
  }
  for (const auto& [node, since] : waiting_since) {
    const auto found = links_.find(node);
    if (found == links_.end() || found->second->ended) {
      continue;
    }
    Link& link = *found->second;
    if (link.pinged_at != TimePoint{}) {
      if (now - link.pinged_at >= kPongLimit) {
        giveUpSilent(link);
      }
    } else if (now - std::max(since, link.heard_at) >= kQuietLimit) {
      link.pinged_at = now;
      link.send(PingFrame{}, 0);
    }
  }
}

void PeerLinks::giveUpSilent(Link& link) {
  directory_.markUnreachable(link.node);
  events_.on_reachable(link.node, false);
  const std::vector<ExchangeId> open = pendingAt(link.node);
  link.stream.breakNow();
  // Others are settled once the node can be reached again.
  for (const ExchangeId exchange : open) {
    const auto found = pending_.find(exchange);
    if (found != pending_.end() && found->second.repeatable) {
      finish(exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
    }
  }
}

std::vector<ExchangeId> PeerLinks::pendingAt(const NodeName& node) const {
  std::vector<ExchangeId> open;
  for (const auto& [exchange, pending] : pending_) {
    if (pending.node == node) {
      open.push_back(exchange);
    }
  }
  return open;
}

void PeerLinks::cancel(ExchangeId exchange) {
  const auto found = pending_.find(exchange);
  if (found == pending_.end()) {
    return;
  }
  const auto link = links_.find(found->second.node);
  if (link != links_.end() && !link->second->ended) {
    link->second->send(CancelForwardFrame{exchange}, 0);
  }
  pending_.erase(found);
}

void PeerLinks::callStore(const NodeName& node, HttpRequest request, Duration timeout, StoreCallback done) {
  const ExchangeId exchange = ++last_exchange_;
  PendingStoreCall& call = store_calls_[exchange];
  call.node = node;
  call.done = std::move(done);
  call.timer = loop_.runAfter(timeout, [this, exchange] {
    auto ended = store_calls_.extract(exchange);
    ended.mapped().done(std::nullopt);
  });
  Link* link = linkTo(node);
  if (link != nullptr) {
    link->send(StoreCallFrame{exchange, timeout.count(), std::move(request)}, 0);
  }
}

std::vector<NodeName> PeerLinks::connected() const {
  std::vector<NodeName> nodes;
  for (const auto& [node, link] : links_) {
    if (link->up && !link->ended) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

void PeerLinks::tell(const NodeName& node, const RouterFrame& frame) {
  if (Link* link = linkTo(node)) {
    link->send(frame, 0);
  }
}

void PeerLinks::tellStopping() {
  for (const auto& [node, link] : links_) {
    link->send(StoppingFrame{self_.name}, 0);
  }
}

void PeerLinks::tellAll(const ServerEndsFrame& news) {
  for (const auto& [node, link] : links_) {
    if (link->up) {
      link->send(news, 0);
    }
  }
}

void PeerLinks::onFrame(const NodeName& node, RouterFrame frame) {
  if (auto* reply = std::get_if<ForwardReplyFrame>(&frame)) {
    onReply(std::move(*reply));
  } else if (const auto* part = std::get_if<ReplyPartFrame>(&frame)) {
    onPart(node, *part);
  } else if (const auto* settled = std::get_if<SettleReplyFrame>(&frame)) {
    onSettled(*settled);
  } else if (std::holds_alternative<StoppingFrame>(frame)) {
    directory_.markDraining(node);
  } else if (const auto* hello = std::get_if<HelloFrame>(&frame)) {
    if (hello->needs_state) {
      events_.on_state_wanted(node);
    }
  } else if (const auto* table = std::get_if<OwnerTableFrame>(&frame)) {
    events_.on_owner_table(*table);
  } else if (const auto* config = std::get_if<ConfigFrame>(&frame)) {
    events_.on_config(*config);
  } else if (const auto* ends = std::get_if<ServerEndsFrame>(&frame)) {
    events_.on_server_ends(*ends);
  } else if (auto* answer = std::get_if<StoreReplyFrame>(&frame)) {
    auto call = store_calls_.extract(answer->exchange);
    if (!call.empty()) {
      loop_.cancel(call.mapped().timer);
      call.mapped().done(answer->answered ? std::optional<HttpResponse>(std::move(answer->http)) : std::nullopt);
    }
  }
}

void PeerLinks::onPart(const NodeName& node, const ReplyPartFrame& part) {
  const auto found = links_.find(node);
  if (found == links_.end()) {
    return;
  }
  auto& parts = found->second->parts;
  if (!pending_.contains(part.exchange)) {
    parts.erase(part.exchange);
    return;
  }
  std::string& bytes = parts[part.exchange];
  bytes += part.bytes;
  const bool too_long = bytes.size() > peerStreamOptions().message_limit;
  if (!part.last && !too_long) {
    return;
  }
  auto frame = decodeRouterFrame(bytes);
  parts.erase(part.exchange);
  auto* reply = frame ? std::get_if<ForwardReplyFrame>(&frame.value()) : nullptr;
  if (reply == nullptr || too_long) {
    found->second->stream.breakNow();
    return;
  }
  onReply(std::move(*reply));
}

void PeerLinks::onReply(ForwardReplyFrame reply) {
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

void PeerLinks::onSettled(const SettleReplyFrame& settled) {
  switch (settled.state) {
    case SettleState::NotBegun:
      finish(settled.exchange, ForwardOutcome::NotRun, ForwardReason::ConnectionLost);
      return;
    case SettleState::Answered:
      finish(settled.exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
      return;
    case SettleState::Pending:
      return;
  }
}

void PeerLinks::onLinkUp(Link& link) {
  directory_.onReachable(link.node);
  events_.on_reachable(link.node, true);
  const ServerEndsFrame ends = events_.server_ends();
  if (!ends.empty()) {
    link.send(ends, 0);
  }
  settleOn(link);
}

void PeerLinks::finish(ExchangeId exchange, ForwardOutcome outcome, ForwardReason reason) {
  ForwardReplyFrame reply;
  reply.exchange = exchange;
  reply.outcome = outcome;
  reply.reason = reason;
  reply.reached_server = outcome == ForwardOutcome::Unknown;
  onReply(std::move(reply));
}

void PeerLinks::onLinkEnd(Link& link) {
  const NodeName node = link.node;
  const bool was_up = link.up;
  if (!was_up) {
    directory_.markUnreachable(node);
    events_.on_reachable(node, false);
  }
  std::vector<ExchangeId> unsent;
  const std::size_t count = std::min(link.stream.unsentMessages(), link.sent.size());
  for (auto exchange = link.sent.end() - static_cast<std::ptrdiff_t>(count); exchange != link.sent.end(); ++exchange) {
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
    retryLater(node, was_up);
    return;
  }
  if (!was_up) {
    finishUnsettled(open, link.misdirected);
    retryLater(node, false);
    return;
  }
  linkTo(node);
  for (const ExchangeId exchange : open) {
    pending_.at(exchange).asked_life = link.incarnation;
    giveUpUnsettledLater(exchange);
  }
}

void PeerLinks::finishUnsettled(const std::vector<ExchangeId>& open, bool misdirected) {
  for (const ExchangeId exchange : open) {
    const auto found = pending_.find(exchange);
    if (found == pending_.end()) {
      continue;
    }
    if (misdirected && !found->second.asked_life) {
      // Another node's process has it, and takes nothing that is not meant for it.
      finish(exchange, ForwardOutcome::NotRun, ForwardReason::ServerDown);
    } else {
      // A second stream failed as well: nobody can say what became of it.
      finish(exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
    }
  }
}

void PeerLinks::settleOn(Link& link) {
  for (const ExchangeId exchange : pendingAt(link.node)) {
    const auto found = pending_.find(exchange);
    if (found == pending_.end() || !found->second.asked_life || found->second.settling) {
      continue;
    }
    if (*found->second.asked_life != link.incarnation) {
      // The life that could tell is over.
      finish(exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
      continue;
    }
    found->second.settling = true;
    link.send(SettleFrame{exchange, self_.incarnation}, 0);
  }
}

void PeerLinks::giveUpUnsettledLater(ExchangeId exchange) {
  loop_.runAfter(kSettleLimit, [this, alive = alive_, exchange] {
    if (!*alive) {
      return;
    }
    const auto found = pending_.find(exchange);
    if (found == pending_.end()) {
      return;
    }
    const auto current = links_.find(found->second.node);
    if (current == links_.end() || !current->second->up) {
      finish(exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
    }
  });
}

void PeerLinks::retryLater(const NodeName& node, bool anyway) {
  loop_.runAfter(kReconnectDelay, [this, alive = alive_, node, anyway] {
    if (*alive && (anyway || directory_.isUnreachable(node))) {
      linkTo(node);
    }
  });
}

}  // namespace shedlever
