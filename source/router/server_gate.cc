#include "source/router/server_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/core/router/quarantine/fingerprint.h"

namespace shedlever {

namespace {

/// A request with less time left than this is refused instead of started.
constexpr Duration kMinRemaining = std::chrono::milliseconds(5);
constexpr Duration kKeyRetryAfter = std::chrono::milliseconds(100);
/// When a request may be sent again for whose body there was no memory.
constexpr Duration kMemoryRetryAfter = std::chrono::seconds(1);
/// The gate holds a body once; it moves it to the server's connection.
constexpr std::size_t kBodyCopies = 1;
constexpr double kPermille = 1000.0;
constexpr double kHundredths = 100.0;

}  // namespace

ServerGate::ServerGate(const Clock& clock, const QueueConfig& config, ServerClient& server_client,
                       LinkBacklog machine_link, GateRecorder& recorder, GateEvents events)
    : clock_(clock),
      config_(config),
      server_client_(server_client),
      machine_link_(std::move(machine_link)),
      recorder_(recorder),
      events_(std::move(events)) {
  server_client_.setConditionObserver([this] {
    return [this, instance = instance_, sent = clock_.now()](const ServerCondition& condition) {
      onCondition(instance, sent, condition);
    };
  });
}

ServerLoad ServerGate::load() const {
  ServerLoad load = queue_.load();
  const auto wait = std::chrono::floor<std::chrono::milliseconds>(machine_link_.transfer_time(expected_bytes_));
  load.link_busy_ms = static_cast<std::uint32_t>(wait.count());
  load.failed_permille = static_cast<std::uint32_t>(failureRatio() * kPermille);
  load.demand_hundredths = static_cast<std::uint32_t>(std::max(offeredLoad().demand, 0.0) * kHundredths);
  return load;
}

ServerLoad ServerGate::reportedLoad() const {
  ServerLoad load = this->load();
  if (queue_.isStartLimitReached(clock_.now())) {
    load.running = std::max(load.running, load.slots);
  }
  return load;
}

OfferedLoad ServerGate::offeredLoad() const {
  OfferedLoad offered;
  offered.slots = queue_.load().slots;
  offered.service_seconds = std::chrono::duration<double>(queue_.slotTime()).count();
  offered.demand = ownership_manager_ == nullptr ? 0.0 : ownership_manager_->requestRate() * offered.service_seconds;
  return offered;
}

void ServerGate::serverUp(const InstanceId& instance, std::uint32_t slots) {
  if (instance_ != instance) {
    endInstance();
    refuseAllQueued(ForwardReason::WrongInstance);
    instance_ = instance;
    crash_evidence_.onInstance(instance);
    draining_ = false;
    keyed_requests_stopped_ = false;
    reachability_.reset();
    failures_.reset();
    service_times_.reset();
    limits_.onNewInstance();
  }
  reported_slots_ = slots;
  applySlots();
}

void ServerGate::setColdRate(double per_second) {
  limits_.setColdRate(per_second, clock_.now());
  refuseOverdue();
}

void ServerGate::setCold(Duration left) {
  limits_.setCold(left, clock_.now());
  refuseOverdue();
}

void ServerGate::assumeCold() {
  limits_.assumeCold(clock_.now());
  refuseOverdue();
}

void ServerGate::setMaxSlots(std::uint32_t slots) {
  max_slots_ = slots;
  if (!instance_.empty()) {
    applySlots();
  }
}

void ServerGate::applySlots() {
  const double used = std::max(1.0, reported_slots_ * config_.slot_share);
  queue_.setSlots(std::min(static_cast<std::uint32_t>(used), max_slots_));
  startQueued();
  refuseOverdue();
}

void ServerGate::endInstance() {
  // The end of a draining server is expected, even if it still runs requests.
  if (instance_.empty() || draining_) {
    unanswered_.clear();
    return;
  }
  events_.server_crashed(instance_, unanswered_.takeOnCrash());
}

void ServerGate::serverEnded() {
  endInstance();
  instance_ = {};
  refuseAllQueued(ForwardReason::ServerDown);
}

void ServerGate::startDraining() {
  draining_ = true;
  refuseQueuedIf([](const Entry& entry) { return !entry.frame.keyed; }, ForwardReason::Draining);
}

void ServerGate::setEvacuation(EvacuationPhase evacuation) {
  evacuation_ = evacuation;
  refuseQueuedIf([this](const Entry& entry) { return isEvacuated(entry.frame); }, ForwardReason::Evacuated);
  onKeysChanged();
}

bool ServerGate::isEvacuated(const ForwardFrame& frame) const {
  return evacuation_ == EvacuationPhase::Complete || (evacuation_ == EvacuationPhase::MovingKeys && !frame.keyed);
}

void ServerGate::setProcessEnd(TimePoint end) {
  process_end_ = end;
  refuseQueuedIf([end](const Entry& entry) { return entry.deadline > end; }, ForwardReason::Draining);
}

void ServerGate::refuseQueuedIf(const std::function<bool(const Entry&)>& predicate, ForwardReason reason) {
  std::vector<QueueTicket> tickets;
  for (const auto& [ticket, entry] : entries_) {
    if (!entry.running && predicate(entry)) {
      tickets.push_back(ticket);
    }
  }
  for (const QueueTicket ticket : tickets) {
    queue_.remove(ticket);
    refuseQueued(ticket, {reason});
  }
}

void ServerGate::onQuarantineChanged() {
  refuseQueuedIf([this](const Entry& entry) { return quarantineLeft(entry.frame).has_value(); },
                 ForwardReason::Quarantined);
  onKeysChanged();
}

std::optional<Duration> ServerGate::quarantineLeft(const ForwardFrame& frame) const {
  if (quarantine_ == nullptr || !quarantine_->isActive()) {
    return std::nullopt;
  }
  return quarantine_->remainingTime(fingerprintOf(frame.http), clock_.now());
}

void ServerGate::stopKeyedRequests() {
  keyed_requests_stopped_ = true;
  refuseAllQueued(ForwardReason::Draining);
}

ForwardReason ServerGate::refusalReason(const ForwardFrame& frame, TimePoint deadline, TimePoint now) const {
  if (quarantineLeft(frame)) {
    return ForwardReason::Quarantined;
  }
  if (isEvacuated(frame)) {
    return ForwardReason::Evacuated;
  }
  if (instance_.empty() || reachability_.silent()) {
    return ForwardReason::ServerDown;
  }
  if (frame.instance != instance_) {
    return ForwardReason::WrongInstance;
  }
  // A process may still own keys when it exits, for example if many nodes stop at the same time. Requests that could
  // outlast the process are refused, since the server's response would be lost.
  const bool may_be_interrupted = deadline > process_end_;
  if (may_be_interrupted || (draining_ && (!frame.keyed || keyed_requests_stopped_))) {
    return ForwardReason::Draining;
  }
  if (!frame.keyed) {
    return ForwardReason::None;
  }
  const KeyState state =
      ownership_manager_ == nullptr ? KeyState::OwnedElsewhere : ownership_manager_->keyState(frame.key, now);
  switch (state) {
    case KeyState::Held:
      return ForwardReason::None;
    case KeyState::Pending:
    case KeyState::Moving:
      return ForwardReason::NotYetOwner;
    case KeyState::OwnedElsewhere:
      break;
  }
  return ForwardReason::NotOwner;
}

ForwardReplyFrame ServerGate::refusal(const ForwardFrame& frame, const GateRefusal& refusal) {
  ForwardReplyFrame reply;
  reply.exchange = frame.exchange;
  reply.outcome = ForwardOutcome::NotRun;
  reply.reason = refusal.reason;
  reply.retry_after_us = quarantineLeft(frame).value_or(refusal.retry_after).count();
  reply.load = reportedLoad();
  if (frame.keyed && ownership_manager_ != nullptr && refusal.reason == ForwardReason::Overloaded) {
    ownership_manager_->onKeyRequestRefused(frame.key, clock_.now());
  }
  if (frame.keyed && ownership_manager_ != nullptr) {
    const OwnerHint hint = ownership_manager_->hintFor(frame.key);
    // No hint for a key that is assigned to this server but not granted yet, so that the sender waits. Only a sender
    // that addressed an earlier instance is to retry immediately.
    const bool waits_here = hint.owner == instance_ && refusal.reason != ForwardReason::WrongInstance;
    reply.hint = waits_here ? OwnerHint{} : hint;
  }
  GateInputs inputs{instance_, reply.load, maxWait(frame), 0, {}};
  if (frame.keyed && ownership_manager_ != nullptr) {
    inputs.table = ownership_manager_->tableWriter().revision();
    inputs.lease_left = std::max(ownership_manager_->leaseUntil() - clock_.now(), Duration::zero());
  }
  recorder_.refused(frame, refusal, inputs);
  return reply;
}

QueueTicket ServerGate::forward(ForwardFrame frame, ForwardCallback done) {
  const TimePoint now = clock_.now();
  const QueueTicket ticket = ++last_ticket_;
  const TimePoint deadline = now + Duration(frame.remaining_us);
  if (body_budget_ != nullptr && !body_budget_->hasRoomFor(MemoryCharge::costOf(frame.http.body.size(), kBodyCopies))) {
    done(refusal(frame, {ForwardReason::Overloaded, kMemoryRetryAfter}));
    return ticket;
  }
  done = charged(frame, std::move(done));
  const ForwardReason reason = refusalReason(frame, deadline, now);
  if (reason == ForwardReason::None) {
    admit(ticket, std::move(frame), std::move(done));
  } else if (reason == ForwardReason::NotYetOwner) {
    holdForKey(ticket, std::move(frame), std::move(done));
  } else {
    done(refusal(frame, {reason, kKeyRetryAfter}));
  }
  return ticket;
}

ForwardCallback ServerGate::charged(const ForwardFrame& frame, ForwardCallback done) {
  if (body_budget_ == nullptr || frame.http.body.size() <= kUnchargedBodyBytes) {
    return done;
  }
  auto charge = std::make_shared<MemoryCharge>(*body_budget_);
  charge->setBody(frame.http.body.size(), kBodyCopies);
  return [charge, done = std::move(done)](ForwardReplyFrame reply) { done(std::move(reply)); };
}

void ServerGate::holdForKey(QueueTicket ticket, ForwardFrame frame, ForwardCallback done) {
  const Duration max_wait = maxWait(frame);
  const std::optional<Duration> too_long = held_.hold(ticket, frame, done, rangeStartOf(frame.key), max_wait);
  if (too_long) {
    done(refusal(frame, {ForwardReason::NotYetOwner, std::max(*too_long, kKeyRetryAfter)}));
  }
}

bool ServerGate::isKeyInTransit(Key key, TimePoint now) const {
  const KeyState state =
      ownership_manager_ == nullptr ? KeyState::OwnedElsewhere : ownership_manager_->keyState(key, now);
  return state == KeyState::Pending || state == KeyState::Moving;
}

Key ServerGate::rangeStartOf(Key key) const {
  const OwnedRange* range =
      ownership_manager_ == nullptr ? nullptr : ownership_manager_->tableWriter().table().find(key);
  return range == nullptr ? key : range->keys.first;
}

void ServerGate::onReleased(QueueTicket ticket, ForwardFrame frame, ForwardCallback done, ForwardReason reason) {
  if (reason != ForwardReason::None) {
    done(refusal(frame, {reason, kKeyRetryAfter}));
    return;
  }
  admit(ticket, std::move(frame), std::move(done));
}

void ServerGate::onKeysChanged() {
  held_.release(
      [this](const ForwardFrame& frame, TimePoint deadline) { return refusalReason(frame, deadline, clock_.now()); },
      [this](QueueTicket ticket, ForwardFrame frame, ForwardCallback done, ForwardReason reason) {
        onReleased(ticket, std::move(frame), std::move(done), reason);
      });
}

void ServerGate::admit(QueueTicket ticket, ForwardFrame frame, ForwardCallback done) {
  const TimePoint now = clock_.now();
  if (frame.keyed) {
    ownership_manager_->onKeyRequest(frame.key, now);
  }
  const Duration remaining(frame.remaining_us);
  const Duration max_wait = maxWait(frame);
  const double expected_bytes = answer_sizes_.expectedBytes(frame.kind);
  if (expected_bytes > 0) {
    const Duration link_wait = machine_link_.transfer_time(expected_bytes_);
    if (link_wait > max_wait) {
      done(refusal(frame, {ForwardReason::Overloaded, link_wait}));
      return;
    }
  }
  const QueueRank rank = rankOf(frame, now);
  const QueueDecision decision = queue_.admit(ticket, frame.tenant, rank, now, max_wait);
  if (decision.verdict == QueueVerdict::Refuse || decision.verdict == QueueVerdict::TenantFull) {
    const bool tenant_full = decision.verdict == QueueVerdict::TenantFull;
    const ForwardReason reason = tenant_full ? ForwardReason::QueueFull : ForwardReason::Overloaded;
    done(refusal(frame, {reason, decision.predicted_wait, decision.overtaking_wait}));
    return;
  }
  Entry& entry = entries_[ticket];
  entry.expected_bytes = expected_bytes;
  expected_bytes_ += expected_bytes;
  entry.deadline = now + remaining;
  entry.arrived = now;
  entry.frame = std::move(frame);
  entry.done = std::move(done);
  if (decision.verdict == QueueVerdict::Start) {
    startRequest(ticket);
  }
}

QueueRank ServerGate::rankOf(const ForwardFrame& frame, TimePoint arrived) {
  return {frame.priority, 0, Duration(frame.target_us), arrived};
}

Duration ServerGate::maxWait(const ForwardFrame& frame) const {
  const Duration expected = service_times_.expected(frame.route, queue_.meanServiceTime());
  const Duration until_caller_leaves = Duration(frame.remaining_us) - expected;
  // The time since arrival at the gateway counts towards the latency objective.
  const Duration until_late = Duration(frame.target_us) - Duration(frame.elapsed_us) - expected;
  return std::min(std::max(until_late, config_.min_wait_limit), until_caller_leaves);
}

void ServerGate::startRequest(QueueTicket ticket) {
  Entry& entry = entries_.at(ticket);
  const TimePoint now = clock_.now();
  const Duration remaining = entry.deadline - now;
  ForwardReason reason = refusalReason(entry.frame, entry.deadline, now);
  if (reason == ForwardReason::None && remaining < kMinRemaining) {
    reason = ForwardReason::Overloaded;
  }
  if (reason != ForwardReason::None) {
    queue_.onRequestEnded(ticket, std::nullopt);
    refuseQueued(ticket, {reason, kKeyRetryAfter});
    return;
  }
  entry.running = true;
  entry.started = now;
  entry.fingerprint = fingerprintOf(entry.frame.http);
  unanswered_.onSent(ticket, entry.fingerprint);
  ServerRequestMetadata head{entry.frame.id,     instance_,    remaining,
                             entry.frame.caller, std::nullopt, entry.frame.tenant.name};
  if (entry.frame.keyed) {
    head.key = entry.frame.key;
  }
  crash_evidence_.onSent(entry.frame.instance);
  ServerRequest request{std::move(entry.frame.http), std::move(head)};
  entry.exchange = server_client_.send(std::move(request),
                                       [this, ticket](ServerResult result) { onResult(ticket, std::move(result)); });
}

void ServerGate::onResult(QueueTicket ticket, ServerResult result) {
  std::optional<Entry> taken = takeEntry(ticket);
  if (!taken) {
    return;
  }
  Entry& entry = *taken;
  const TimePoint now = clock_.now();
  const Duration service_time = now - entry.started;
  const bool answered = result.outcome == ForwardOutcome::Answered;
  queue_.onRequestEnded(ticket, answered ? std::optional<Duration>(service_time) : std::nullopt);
  recorder_.ended(entry.frame, entry.fingerprint, result, entry.started - entry.arrived, service_time);
  trackUnanswered(ticket, entry, result);
  updateCondition(entry, result);
  if (entry.frame.instance == instance_) {
    updateReachability(result);
  }
  recordFailure(result);
  if (result.reason == ForwardReason::NotOwner && ownership_manager_ != nullptr) {
    ownership_manager_->onKeyRefused(entry.frame.key);
  }
  if (answered) {
    answer_sizes_.record(entry.frame.kind, result.http.body.size());
    service_times_.record(entry.frame.route, service_time);
  }
  ForwardReplyFrame reply;
  reply.exchange = entry.frame.exchange;
  reply.outcome = result.outcome;
  reply.reason = result.reason;
  reply.reached_server = result.reached_server;
  reply.service_us = answered ? service_time.count() : 0;
  reply.http = std::move(result.http);
  reply.load = reportedLoad();
  if (!entry.abandoned) {
    entry.done(std::move(reply));
  }
  startQueued();
}

SentRequestEnd ServerGate::endOf(const ServerResult& result) {
  if (!result.reached_server || result.reason == ForwardReason::WrongInstance) {
    return SentRequestEnd::NotReached;
  }
  if (result.outcome != ForwardOutcome::Unknown) {
    return SentRequestEnd::Answered;
  }
  const bool abandoned = result.reason == ForwardReason::Cancelled || result.reason == ForwardReason::TimedOut;
  return abandoned ? SentRequestEnd::Abandoned : SentRequestEnd::ConnectionLost;
}

void ServerGate::trackUnanswered(QueueTicket ticket, const Entry& entry, const ServerResult& result) {
  const TimePoint now = clock_.now();
  const SentRequestEnd end = endOf(result);
  // Servers that still run break some responses off.
  const bool broken = result.reason == ForwardReason::BrokenAnswer;
  crash_evidence_.onEnded(entry.frame.instance, broken ? SentRequestEnd::Abandoned : end, now);
  switch (end) {
    case SentRequestEnd::NotReached:
      unanswered_.onNotReached(ticket);
      return;
    case SentRequestEnd::Answered:
      unanswered_.onAnswered(ticket, result.succeeded(), now);
      if (result.succeeded()) {
        events_.served(entry.fingerprint);
      }
      return;
    case SentRequestEnd::Abandoned:
      unanswered_.onAbandoned(ticket, now);
      return;
    case SentRequestEnd::ConnectionLost:
      unanswered_.onConnectionLost(ticket, now);
      return;
  }
}

void ServerGate::updateCondition(const Entry& entry, const ServerResult& result) {
  if (!result.condition || entry.frame.instance != instance_) {
    return;
  }
  if (result.condition->invalid_limit) {
    recorder_.limitInvalid(instance_);
  }
  onNamedLimitKnown();
  onLimitChange(limits_.onResponse(*result.condition, entry.started, clock_.now()));
  if (result.condition->leaving) {
    events_.server_leaving();
  }
}

void ServerGate::onCondition(const InstanceId& instance, TimePoint sent, const ServerCondition& condition) {
  if (instance != instance_ || instance_.empty()) {
    return;
  }
  onLimitChange(limits_.onCommandResponse(condition, sent, clock_.now()));
  if (condition.leaving) {
    events_.server_leaving();
  }
}

void ServerGate::onLimitChange(LimitChange change) {
  if (change == LimitChange::None) {
    return;
  }
  recorder_.limitChanged(instance_, change, limits_.named());
  refuseOverdue();
}

void ServerGate::updateReachability(const ServerResult& result) {
  if (result.server_gone) {
    events_.server_gone(RefusedCall::Request);
    return;
  }
  if (result.connect_failed) {
    if (!instance_.empty() && reachability_.onConnectionFailed()) {
      events_.silence_changed(true);
      refuseAllQueued(ForwardReason::ServerDown);
    }
    return;
  }
  if (result.outcome != ForwardOutcome::Unknown) {
    reachability_.onResponse();
  }
}

void ServerGate::recordFailure(const ServerResult& result) {
  // Cancelled requests and requests for keys or instances that are elsewhere don't indicate a fault of the server.
  const bool is_unrelated = result.reason == ForwardReason::Cancelled || result.reason == ForwardReason::NotOwner ||
                            result.reason == ForwardReason::WrongInstance;
  if (!is_unrelated) {
    failures_.record(!result.succeeded(), clock_.now());
  }
}

void ServerGate::startQueued() {
  while (const auto ticket = queue_.startNext(clock_.now())) {
    startRequest(*ticket);
  }
}

void ServerGate::refuseQueued(QueueTicket ticket, GateRefusal refused) {
  const std::optional<Entry> entry = takeEntry(ticket);
  if (entry && !entry->abandoned) {
    refused.waited = clock_.now() - entry->arrived;
    entry->done(refusal(entry->frame, refused));
  }
}

std::optional<ServerGate::Entry> ServerGate::takeEntry(QueueTicket ticket) {
  auto node = entries_.extract(ticket);
  if (node.empty()) {
    return std::nullopt;
  }
  expected_bytes_ = std::max(0.0, expected_bytes_ - node.mapped().expected_bytes);
  return std::move(node.mapped());
}

void ServerGate::refuseAllQueued(ForwardReason reason) {
  for (const QueueTicket ticket : queue_.removeAll()) {
    refuseQueued(ticket, {reason});
  }
  onKeysChanged();
}

void ServerGate::cancel(QueueTicket ticket) {
  held_.cancel(ticket);
  const auto found = entries_.find(ticket);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (!entry.running) {
    queue_.remove(ticket);
    takeEntry(ticket);
    return;
  }
  entry.abandoned = true;
  if (isRepeatable(entry.frame.kind)) {
    // The request ends as cancelled, from the event loop, which then frees its slot.
    server_client_.cancel(entry.exchange);
  }
}

bool ServerGate::isRunning(QueueTicket ticket) const {
  const auto found = entries_.find(ticket);
  return found != entries_.end() && found->second.running;
}

void ServerGate::refuseOverdue() {
  const TimePoint now = clock_.now();
  for (const QueueTicket ticket : queue_.removeOverdue(now)) {
    const auto found = entries_.find(ticket);
    if (found == entries_.end()) {
      continue;
    }
    const WaitForecast wait = queue_.forecast(rankOf(found->second.frame, now), now);
    const Duration retry_after = std::max(wait.expected, queue_.meanServiceTime());
    refuseQueued(ticket, {ForwardReason::Overloaded, retry_after, wait.overtaking});
  }
}

void ServerGate::tick() {
  const TimePoint now = clock_.now();
  held_.updateWaits([this, now](Key first) { return isKeyInTransit(first, now); });
  if (!held_.empty()) {
    onKeysChanged();
  }
  limits_.update(now);
  refuseOverdue();
  startQueued();
  probeSilentServer();
}

void ServerGate::probeSilentServer() {
  if (instance_.empty() || !reachability_.startProbe()) {
    return;
  }
  server_client_.checkHealth(health_path_, [this, instance = instance_](const HealthCheckResult& check) {
    if (instance != instance_) {
      return;
    }
    reachability_.onProbeEnded(!check.server.empty());
    if (check.refused) {
      events_.server_gone(RefusedCall::HealthCheck);
    } else if (!check.server.empty()) {
      assumeCold();
      events_.silence_changed(false);
    }
  });
}

}  // namespace shedlever
