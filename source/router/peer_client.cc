#include "source/router/peer_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "shedlever/load_report.h"

namespace shedlever {

namespace {

constexpr Duration kReconnectDelay = std::chrono::milliseconds(500);
constexpr Duration kSilenceCheckInterval = std::chrono::milliseconds(50);
/// How long a node that has fallen behind stays so after the last check that found it.
constexpr Duration kBehindRetention = std::chrono::milliseconds(200);
/// Time for a node to be connected again after a stream broke; then its requests finish with an unknown outcome.
constexpr Duration kOutcomeTimeout = std::chrono::milliseconds(700);

}  // namespace

PeerClient::PeerClient(EventLoop& loop, const Clock& clock, NodeIdentity self, ServerDirectory& directory,
                       Events events, LinkPacer* pacer)
    : loop_(loop),
      clock_(clock),
      self_(std::move(self)),
      directory_(directory),
      events_(std::move(events)),
      store_calls_(loop),
      quota_questions_(loop),
      shipments_(loop, clock, directory.links(),
                 [this](PeerStreamId id) {
                   const PeerStream* stream = find(id);
                   return stream == nullptr ? std::nullopt : std::optional(stream->acknowledgedBytes());
                 }),
      pacer_(pacer) {
  if (pacer_ != nullptr) {
    parts_.emplace(loop_, clock_, *pacer_, directory_.links(), partPorts());
  }
}

ForwardPartSender::Ports PeerClient::partPorts() {
  ForwardPartSender::Ports ports;
  ports.stream = [this](PeerStreamId id) { return find(id); };
  ports.on_last_part = [this](ExchangeId exchange, const PeerStream& stream) {
    shipments_.onWritten(exchange, stream.id(), stream.enqueuedBytes());
  };
  return ports;
}

void PeerClient::onFrameSent(const RouterFrame& frame, std::size_t bytes) {
  const bool is_paced = std::holds_alternative<ForwardPartFrame>(frame);
  if (pacer_ != nullptr && !is_paced) {
    pacer_->recordSent(bytes);
  }
  events_.on_sent(frame, bytes);
}

bool PeerClient::sendRequest(PeerStream& stream, ForwardFrame frame) {
  const ExchangeId exchange = frame.exchange;
  if (parts_ && parts_->takes(stream, frame)) {
    parts_->start(stream, std::move(frame));
    return true;
  }
  const bool sent = stream.send(std::move(frame), exchange);
  if (sent && stream.isUp()) {
    shipments_.onWritten(exchange, stream.id(), stream.enqueuedBytes());
  }
  return sent;
}

PeerClient::~PeerClient() { *alive_ = false; }

PeerStream* PeerClient::streamTo(const NodeName& node) {
  const auto found = streams_.find(node);
  if (found != streams_.end()) {
    return found->second->hasEnded() ? nullptr : found->second.get();
  }
  const NodeRecord* record = directory_.node(node);
  if (record == nullptr) {
    return nullptr;
  }
  auto stream = std::make_unique<PeerStream>(loop_, clock_, *this, ++last_stream_, self_, node, record->peer,
                                             versions_.versionFor(*record));
  return streams_.emplace(node, std::move(stream)).first->second.get();
}

WireVersion PeerClient::versionOf(const NodeName& node) const {
  const auto stream = streams_.find(node);
  if (stream != streams_.end()) {
    return stream->second->version();
  }
  const NodeRecord* record = directory_.node(node);
  return record == nullptr ? kUnstatedWireVersion : versions_.versionFor(*record);
}

bool PeerClient::retryWithOtherVersion(PeerStream& rejected) {
  const NodeRecord* record = directory_.node(rejected.node());
  if (record == nullptr || !rejected.wasRejected() || !versions_.onRejected(*record, rejected.version())) {
    return false;
  }
  PeerStream* next = streamTo(rejected.node());
  if (next == nullptr) {
    return false;
  }
  for (const ExchangeId exchange : rejected.waitingExchanges()) {
    const auto pending = pending_.find(exchange);
    if (pending != pending_.end()) {
      pending->second.stream = next->id();
    }
  }
  rejected.moveWaitingFrames(*next);
  return true;
}

PeerStream* PeerClient::find(PeerStreamId id) {
  const auto silent = silent_streams_.find(id);
  if (silent != silent_streams_.end()) {
    return silent->second->hasEnded() ? nullptr : silent->second.get();
  }
  for (const auto& [node, stream] : streams_) {
    if (stream->id() == id) {
      return stream->hasEnded() ? nullptr : stream.get();
    }
  }
  return nullptr;
}

void PeerClient::ensureConnected(const NodeName& node) { streamTo(node); }

ExchangeId PeerClient::forward(const NodeName& node, ForwardFrame frame, ForwardCallback done) {
  const ExchangeId exchange = ++last_exchange_;
  frame.exchange = exchange;
  PendingRequest& pending = pending_[exchange];
  pending.node = node;
  pending.done = std::move(done);
  pending.sent_at = clock_.now();
  PeerStream* stream = streamTo(node);
  pending.stream = stream == nullptr ? 0 : stream->id();
  shipments_.start(exchange, node, frame.http.body.size());
  pending.sent = stream != nullptr && sendRequest(*stream, std::move(frame));
  if (!pending.sent) {
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
    const auto current = streams_.find(pending.node);
    if (current != streams_.end() && current->second->id() == pending.stream && !current->second->hasEnded()) {
      TimePoint& since = waiting_since.try_emplace(pending.node, pending.sent_at).first->second;
      since = std::min(since, pending.sent_at);
    }
  }
  for (const auto& [node, since] : waiting_since) {
    const Duration behind_by = streams_.at(node)->behindBy(now, since);
    if (behind_by > Duration::zero()) {
      markBehind(node, behind_by, now + kBehindRetention);
    }
    if (streams_.at(node)->isSilent(now, since)) {
      replaceSilentStream(node);
    }
  }
}

void PeerClient::markBehind(const NodeName& node, Duration behind_by, TimePoint until) {
  const bool is_new = !directory_.isBehind(node, clock_.now());
  directory_.markBehind(node, until);
  if (is_new) {
    events_.on_behind(node, behind_by);
  }
}

void PeerClient::replaceSilentStream(const NodeName& node) {
  std::unique_ptr<PeerStream> stream = std::move(streams_.extract(node).mapped());
  const std::vector<ExchangeId> waiting = pendingOn(node, stream->id());
  reportFailure(*stream, true, waiting);
  stream->markReplaced();
  for (const ExchangeId exchange : waiting) {
    if (stream->isUp()) {
      pending_.at(exchange).receiver_incarnation = stream->incarnation();
    }
  }
  forgetQueries(node);
  const PeerStreamId id = stream->id();
  silent_streams_.emplace(id, std::move(stream));
  directory_.markUnreachable(node);
  events_.on_reachable(node, false);
  streamTo(node);
  events_.on_silent_requests(waiting);
}

void PeerClient::onSilentNodeResponds(const NodeName& node) {
  if (directory_.isUnreachable(node)) {
    directory_.onReachable(node);
    events_.on_reachable(node, true);
  }
}

void PeerClient::closeSilentStreamIfUnused(PeerStreamId id) {
  const auto found = silent_streams_.find(id);
  if (found != silent_streams_.end() && pendingOn(found->second->node(), id).empty()) {
    found->second->closeAfterFlush();
  }
}

void PeerClient::reportFailure(const PeerStream& stream, bool silent, const std::vector<ExchangeId>& waiting) {
  const TimePoint now = clock_.now();
  PeerStreamFailure failure;
  failure.node = stream.node();
  failure.silent = silent;
  failure.waiting_requests = waiting.size();
  failure.unsent_bytes = stream.unsentBytes();
  failure.since_received = now - stream.lastReceivedAt();
  for (const ExchangeId exchange : waiting) {
    failure.longest_wait = std::max(failure.longest_wait, now - pending_.at(exchange).sent_at);
  }
  events_.on_stream_failure(failure);
}

std::vector<ExchangeId> PeerClient::pendingOn(const NodeName& node, PeerStreamId id) const {
  std::vector<ExchangeId> waiting;
  for (const auto& [exchange, pending] : pending_) {
    if (pending.sent && pending.node == node && pending.stream == id) {
      waiting.push_back(exchange);
    }
  }
  return waiting;
}

void PeerClient::cancel(ExchangeId exchange) {
  const auto pending = pending_.extract(exchange);
  if (pending.empty()) {
    return;
  }
  shipments_.end(exchange);
  const bool nothing_sent = parts_ && parts_->cancel(pending.mapped().stream, exchange) == false;
  if (nothing_sent) {
    closeSilentStreamIfUnused(pending.mapped().stream);
    return;
  }
  // Sent on the stream of the request, since a cancellation that arrives before its request has no effect.
  const PeerStreamId id = pending.mapped().stream;
  const auto current = streams_.find(pending.mapped().node);
  const bool use_current = id == 0 && current != streams_.end() && !current->second->hasEnded();
  if (PeerStream* stream = use_current ? current->second.get() : find(id)) {
    stream->dropReplyParts(exchange);
    stream->send(CancelForwardFrame{exchange});
  }
  closeSilentStreamIfUnused(id);
}

void PeerClient::callStore(const NodeName& node, HttpRequest request, Duration timeout, StoreCallback done) {
  const ExchangeId exchange = ++last_exchange_;
  store_calls_.add(exchange, timeout, std::move(done));
  PeerStream* stream = streamTo(node);
  if (stream != nullptr) {
    stream->send(StoreCallFrame{exchange, timeout.count(), std::move(request)});
  }
}

void PeerClient::askQuota(const NodeName& node, QuotaRequestFrame question, Duration timeout, QuotaGrantCallback done) {
  question.exchange = ++last_exchange_;
  quota_questions_.add(question.exchange, timeout, std::move(done));
  if (PeerStream* stream = streamTo(node)) {
    stream->send(question);
  }
}

void PeerClient::sendTableEdits(const NodeName& node, TableEditsFrame edits, Duration timeout,
                                TableEditsCallback done) {
  const ExchangeId exchange = ++last_exchange_;
  edits.exchange = exchange;
  PendingTableEdits& pending = table_edits_[exchange];
  pending.node = node;
  pending.done = std::move(done);
  pending.timer = loop_.runAfter(timeout, [this, alive = alive_, exchange] {
    if (*alive) {
      endTableEdits(exchange, std::nullopt);
    }
  });
  if (PeerStream* stream = streamTo(node)) {
    stream->send(edits);
  }
}

void PeerClient::endTableEdits(ExchangeId exchange, const std::optional<TableEditsReplyFrame>& reply) {
  auto edits = table_edits_.extract(exchange);
  if (!edits.empty()) {
    loop_.cancel(edits.mapped().timer);
    edits.mapped().done(reply);
  }
}

void PeerClient::failTableEdits(const NodeName& node) {
  std::vector<ExchangeId> lost;
  for (const auto& [exchange, pending] : table_edits_) {
    if (pending.node == node) {
      lost.push_back(exchange);
    }
  }
  for (const ExchangeId exchange : lost) {
    endTableEdits(exchange, std::nullopt);
  }
}

bool PeerClient::isConnected(const NodeName& node) const {
  const auto stream = streams_.find(node);
  return stream != streams_.end() && stream->second->isUp() && !stream->second->hasEnded();
}

std::vector<NodeName> PeerClient::connectedNodes() const {
  std::vector<NodeName> nodes;
  for (const auto& [node, stream] : streams_) {
    if (stream->isUp() && !stream->hasEnded()) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

std::uint64_t PeerClient::unacknowledgedBytes(const NodeName& node) const {
  const auto stream = streams_.find(node);
  return stream == streams_.end() ? 0 : stream->second->enqueuedBytes() - stream->second->acknowledgedBytes();
}

void PeerClient::send(const NodeName& node, const RouterFrame& frame) {
  if (PeerStream* stream = streamTo(node)) {
    stream->send(frame);
  }
}

void PeerClient::broadcastStopping() {
  for (const auto& [node, stream] : streams_) {
    stream->send(StoppingFrame{self_.name});
  }
}

void PeerClient::broadcastServerCrashes(const ServerCrashesFrame& crashes) {
  for (const auto& [node, stream] : streams_) {
    if (stream->isUp()) {
      stream->send(crashes);
    }
  }
}

void PeerClient::onStreamFrame(PeerStream& stream, RouterFrame frame) {
  const NodeName& node = stream.node();
  if (stream.isReplaced()) {
    onSilentNodeResponds(node);
  }
  auto* reply = std::get_if<ForwardReplyFrame>(&frame);
  if (reply != nullptr && reply->exchange == kLoadReportExchange) {
    directory_.onReply(node, {}, *reply, clock_.now());
  } else if (reply != nullptr) {
    onReplyDelay(stream);
    onReply(std::move(*reply));
  } else if (std::holds_alternative<UnknownFrame>(frame)) {
    events_.on_unknown_frame(node, stream.markUnknownFrame());
  } else if (const auto* grant = std::get_if<QuotaGrantFrame>(&frame)) {
    quota_questions_.finish(grant->exchange, *grant);
  } else if (const auto* edits_reply = std::get_if<TableEditsReplyFrame>(&frame)) {
    endTableEdits(edits_reply->exchange, *edits_reply);
  } else if (const auto* part = std::get_if<ReplyPartFrame>(&frame)) {
    onReplyPart(stream, *part);
  } else if (const auto* query_reply = std::get_if<ExchangeQueryReplyFrame>(&frame)) {
    onExchangeQueryReply(stream, *query_reply);
  } else if (std::holds_alternative<StoppingFrame>(frame)) {
    directory_.markDraining(node);
  } else if (const auto* hello = std::get_if<HelloFrame>(&frame)) {
    if (hello->needs_snapshot) {
      events_.on_snapshot_requested(node);
    }
  } else if (const auto* table = std::get_if<OwnerTableFrame>(&frame)) {
    events_.on_owner_table(*table);
  } else if (const auto* delta = std::get_if<OwnerTableDeltaFrame>(&frame)) {
    events_.on_owner_table_delta(node, *delta);
  } else if (const auto* config = std::get_if<ConfigFrame>(&frame)) {
    events_.on_config(*config);
  } else if (const auto* crashes = std::get_if<ServerCrashesFrame>(&frame)) {
    events_.on_server_crashes(*crashes);
  } else if (auto* answer = std::get_if<StoreReplyFrame>(&frame)) {
    store_calls_.finish(answer->exchange,
                        answer->answered ? std::optional<HttpResponse>(std::move(answer->http)) : std::nullopt);
  }
}

void PeerClient::onReplyDelay(const PeerStream& stream) {
  const TimePoint now = clock_.now();
  const Duration behind_by = stream.replyDelay(now) - PeerLiveness::kBehindAge;
  if (behind_by > Duration::zero()) {
    markBehind(stream.node(), behind_by, now + behind_by);
  }
}

void PeerClient::onReplyPart(PeerStream& stream, const ReplyPartFrame& part) {
  if (!pending_.contains(part.exchange)) {
    stream.dropReplyParts(part.exchange);
    return;
  }
  if (std::optional<ForwardReplyFrame> reply = stream.addReplyPart(part)) {
    onReply(std::move(*reply));
  }
}

void PeerClient::onReply(ForwardReplyFrame reply) {
  auto node = pending_.extract(reply.exchange);
  if (node.empty()) {
    return;
  }
  shipments_.end(reply.exchange);
  stopSending(reply.exchange, node.mapped().stream);
  if (reply.known.lease_left_us > 0) {
    // The reply was made after the request was sent and before the reply arrived, which bounds the end of the lease.
    const Duration left(reply.known.lease_left_us);
    const PeerLease lease{reply.known.lease_revision, node.mapped().sent_at + left, clock_.now() + left};
    events_.on_lease(node.mapped().node, lease);
  }
  // The staleness was measured when the reply was made, at the earliest when the request was sent. Without this
  // correction each hop would understate the staleness by the reply's latency, and peers that only report to each other
  // would never take their state for stale.
  const Duration since_sent = clock_.now() - node.mapped().sent_at;
  reply.known.config.staleness_us += since_sent.count();
  reply.known.nodes.staleness_us += since_sent.count();
  node.mapped().done(std::move(reply));
  closeSilentStreamIfUnused(node.mapped().stream);
}

void PeerClient::stopSending(ExchangeId exchange, PeerStreamId id) {
  const std::optional<bool> begun = parts_ ? parts_->cancel(id, exchange) : std::nullopt;
  PeerStream* stream = begun == true ? find(id) : nullptr;
  if (stream != nullptr) {
    stream->send(CancelForwardFrame{exchange});
  }
}

void PeerClient::onExchangeQueryReply(const PeerStream& stream, const ExchangeQueryReplyFrame& query_reply) {
  const auto found = pending_.find(query_reply.exchange);
  if (found == pending_.end()) {
    return;
  }
  switch (query_reply.state) {
    case ExchangeState::NotStarted:
      finish(query_reply.exchange, ForwardOutcome::NotRun, ForwardReason::ConnectionLost);
      return;
    case ExchangeState::Answered:
      found->second.reply_sent = true;
      if (find(found->second.stream) == nullptr) {
        finish(query_reply.exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
      }
      return;
    case ExchangeState::Pending:
      closeSilentStreamIfUnused(std::exchange(found->second.stream, stream.id()));
      return;
  }
}

void PeerClient::onStreamUp(PeerStream& stream) {
  if (const NodeRecord* record = directory_.node(stream.node())) {
    versions_.onAccepted(*record, stream.version());
  }
  if (stream.version() != kNewestWireVersion) {
    events_.on_stream_version(stream.node(), stream.version());
  }
  directory_.onReachable(stream.node());
  events_.on_reachable(stream.node(), true);
  events_.on_identified({stream.node(), stream.incarnation()});
  const ServerCrashesFrame crashes = events_.server_crashes();
  if (!crashes.empty()) {
    stream.send(crashes);
  }
  if (!stream.isReplaced()) {
    requestOutcomes(stream);
  }
}

void PeerClient::finish(ExchangeId exchange, ForwardOutcome outcome, ForwardReason reason) {
  ForwardReplyFrame reply;
  reply.exchange = exchange;
  reply.outcome = outcome;
  reply.reason = reason;
  reply.reached_server = outcome == ForwardOutcome::Unknown;
  onReply(std::move(reply));
}

void PeerClient::onStreamClosed(PeerStreamId id) {
  const auto silent = silent_streams_.extract(id);
  if (!silent.empty()) {
    onSilentStreamEnd(*silent.mapped());
    return;
  }
  const auto found =
      std::find_if(streams_.begin(), streams_.end(), [id](const auto& entry) { return entry.second->id() == id; });
  if (found != streams_.end()) {
    const std::unique_ptr<PeerStream> stream = std::move(found->second);
    streams_.erase(found);
    onStreamEnd(*stream);
  }
}

void PeerClient::detachRequests(const PeerStream& stream) {
  const std::vector<ExchangeId> waiting = pendingOn(stream.node(), stream.id());
  if (!waiting.empty()) {
    reportFailure(stream, false, waiting);
  }
  for (const ExchangeId exchange : waiting) {
    PendingRequest& pending = pending_.at(exchange);
    pending.stream = 0;
    if (stream.isUp()) {
      pending.receiver_incarnation = stream.incarnation();
    }
  }
  // Another node's process that uses the address ignores all frames.
  const ForwardReason reason = stream.isMisdirected() ? ForwardReason::ServerDown : ForwardReason::ConnectionLost;
  std::vector<ExchangeId> unsent = stream.unsentExchanges();
  if (parts_) {
    const std::vector<ExchangeId> in_parts = parts_->takeUnsent(stream.id());
    unsent.insert(unsent.end(), in_parts.begin(), in_parts.end());
  }
  for (const ExchangeId exchange : unsent) {
    finish(exchange, ForwardOutcome::NotRun, reason);
  }
}

void PeerClient::onSilentStreamEnd(PeerStream& stream) {
  const std::vector<ExchangeId> waiting = pendingOn(stream.node(), stream.id());
  if (waiting.empty()) {
    return;
  }
  detachRequests(stream);
  if (!stream.isUp()) {
    finishUnresolved(waiting, stream.isMisdirected());
    return;
  }
  const bool second_stream_failed = !streams_.contains(stream.node()) && directory_.isUnreachable(stream.node());
  if (second_stream_failed) {
    finishUnresolved(waiting, false);
    return;
  }
  forgetQueries(stream.node());
  PeerStream* current = streamTo(stream.node());
  if (current != nullptr && current->isUp()) {
    requestOutcomes(*current);
    return;
  }
  for (const ExchangeId exchange : waiting) {
    scheduleOutcomeTimeout(exchange);
  }
}

void PeerClient::forgetQueries(const NodeName& node) {
  for (auto& [exchange, pending] : pending_) {
    if (pending.node == node) {
      pending.outcome_requested = false;
    }
  }
}

void PeerClient::onStreamEnd(PeerStream& stream) {
  const NodeName& node = stream.node();
  const bool was_up = stream.isUp();
  if (retryWithOtherVersion(stream)) {
    return;
  }
  failTableEdits(node);
  if (!was_up) {
    directory_.markUnreachable(node);
    events_.on_reachable(node, false);
  }
  detachRequests(stream);
  forgetQueries(node);
  const std::vector<ExchangeId> open = pendingOn(node, 0);
  if (open.empty()) {
    // A restarted process may need a snapshot.
    scheduleReconnect(node, was_up);
    return;
  }
  if (!was_up) {
    finishUnresolved(open, stream.isMisdirected());
    scheduleReconnect(node, false);
    return;
  }
  streamTo(node);
  for (const ExchangeId exchange : open) {
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
      // The request reached another node's process, which ignores frames for other nodes.
      finish(exchange, ForwardOutcome::NotRun, ForwardReason::ServerDown);
    } else {
      // The outcome can't be queried, since the second stream failed as well.
      finish(exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
    }
  }
}

void PeerClient::requestOutcomes(PeerStream& stream) {
  std::vector<ExchangeId> of_node;
  for (const auto& [exchange, pending] : pending_) {
    if (pending.node == stream.node() && pending.stream != stream.id()) {
      of_node.push_back(exchange);
    }
  }
  for (const ExchangeId exchange : of_node) {
    const auto found = pending_.find(exchange);
    if (found == pending_.end() || !found->second.receiver_incarnation || found->second.outcome_requested) {
      continue;
    }
    if (*found->second.receiver_incarnation != stream.incarnation()) {
      // The incarnation that received the request has ended.
      finish(exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
      continue;
    }
    found->second.outcome_requested = true;
    stream.send(ExchangeQueryFrame{exchange, self_.incarnation});
  }
}

void PeerClient::scheduleOutcomeTimeout(ExchangeId exchange) {
  loop_.runAfter(kOutcomeTimeout, [this, alive = alive_, exchange] {
    if (!*alive) {
      return;
    }
    const auto found = pending_.find(exchange);
    if (found == pending_.end() || found->second.stream != 0) {
      return;
    }
    const auto current = streams_.find(found->second.node);
    if (current == streams_.end() || !current->second->isUp()) {
      finish(exchange, ForwardOutcome::Unknown, ForwardReason::ConnectionLost);
    }
  });
}

void PeerClient::scheduleReconnect(const NodeName& node, bool always) {
  loop_.runAfter(kReconnectDelay, [this, alive = alive_, node, always] {
    if (*alive && (always || directory_.isUnreachable(node))) {
      streamTo(node);
    }
  });
}

}  // namespace shedlever
