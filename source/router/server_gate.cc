#include "source/router/server_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/core/router/quarantine/fingerprint.h"

namespace shedlever {

namespace {

/// Connections in a row that don't come about before the server counts as silent.
constexpr unsigned kSilentAfterConnections = 2;
/// Requests that could be begun end at least so long before their deadline.
constexpr Duration kLeastRemaining = std::chrono::milliseconds(5);
constexpr Duration kKeyRetryAfter = std::chrono::milliseconds(100);
/// Servers report themselves once a second, some less often.
constexpr Duration kUntilNextReport = std::chrono::milliseconds(1500);
constexpr double kPermille = 1000.0;
constexpr double kHundredths = 100.0;

}  // namespace

ServerGate::ServerGate(const Clock& clock, const QueueConfig& config, ServerLink& link, LinkView machine_link,
                       GateRecorder& recorder, GateEvents events)
    : clock_(clock),
      config_(config),
      link_(link),
      machine_link_(std::move(machine_link)),
      recorder_(recorder),
      events_(std::move(events)) {}

ServerLoad ServerGate::load() const {
  ServerLoad load = queue_.load();
  const auto wait = std::chrono::floor<std::chrono::milliseconds>(machine_link_.wait_for(expected_bytes_));
  load.link_ms = static_cast<std::uint32_t>(wait.count());
  load.failing_permille = static_cast<std::uint32_t>(failingShare() * kPermille);
  load.demand_hundredths = static_cast<std::uint32_t>(std::max(offeredWork().demand, 0.0) * kHundredths);
  return load;
}

OfferedLoad ServerGate::offeredWork() const {
  OfferedLoad work;
  work.slots = queue_.load().slots;
  work.service_seconds = std::chrono::duration<double>(queue_.meanService()).count();
  work.demand = keeper_ == nullptr ? 0.0 : keeper_->requestRate() * work.service_seconds;
  return work;
}

void ServerGate::serverUp(const InstanceId& instance, std::uint32_t slots) {
  if (instance_ != instance) {
    endLife();
    giveBackAll(ForwardReason::WrongInstance);
    instance_ = instance;
    draining_ = false;
    keys_closed_ = false;
    silent_ = false;
    failed_connections_ = 0;
    failures_.reset();
    service_times_.reset();
  }
  reported_slots_ = slots;
  applySlots();
}

void ServerGate::setColdRate(double per_second) {
  cold_rate_ = per_second;
  applyColdness();
}

void ServerGate::setCold(Duration left) {
  cold_until_ = clock_.now() + left;
  applyColdness();
}

void ServerGate::assumeCold() { setCold(std::max(cold_until_ - clock_.now(), kUntilNextReport)); }

void ServerGate::applyColdness() {
  const bool limited = cold_rate_ > 0 && clock_.now() < cold_until_;
  queue_.setStartLimit(limited ? std::optional(cold_rate_) : std::nullopt);
}

void ServerGate::setMostSlots(std::uint32_t slots) {
  most_slots_ = slots;
  if (!instance_.empty()) {
    applySlots();
  }
}

void ServerGate::applySlots() {
  const double used = std::max(1.0, reported_slots_ * config_.slot_share);
  queue_.setSlots(std::min(static_cast<std::uint32_t>(used), most_slots_));
  startWaiting();
}

void ServerGate::endLife() {
  // A server that leaves ends by plan, whatever it still runs.
  if (instance_.empty() || draining_) {
    unanswered_.clear();
    return;
  }
  events_.life_ended(instance_, unanswered_.takeAtEnd());
}

void ServerGate::serverEnded() {
  endLife();
  instance_ = {};
  giveBackAll(ForwardReason::ServerDown);
}

void ServerGate::startDraining() {
  draining_ = true;
  giveBackIf([](const Entry& entry) { return !entry.frame.keyed; }, ForwardReason::Draining);
}

void ServerGate::setEvacuation(EvacuationPhase evacuation) {
  evacuation_ = evacuation;
  giveBackIf([this](const Entry& entry) { return isEvacuated(entry.frame); }, ForwardReason::Evacuated);
  onKeysChanged();
}

bool ServerGate::isEvacuated(const ForwardFrame& frame) const {
  return evacuation_ == EvacuationPhase::Complete || (evacuation_ == EvacuationPhase::MovingKeys && !frame.keyed);
}

void ServerGate::setEnd(TimePoint end) {
  ends_at_ = end;
  giveBackIf([end](const Entry& entry) { return entry.deadline > end; }, ForwardReason::Draining);
}

void ServerGate::giveBackIf(const std::function<bool(const Entry&)>& fits, ForwardReason reason) {
  std::vector<QueueTicket> tickets;
  for (const auto& [ticket, entry] : entries_) {
    if (!entry.running && fits(entry)) {
      tickets.push_back(ticket);
    }
  }
  for (const QueueTicket ticket : tickets) {
    queue_.remove(ticket);
    giveBack(ticket, reason, {});
  }
}

void ServerGate::onQuarantineChanged() {
  giveBackIf([this](const Entry& entry) { return quarantineLeft(entry.frame).has_value(); },
             ForwardReason::Quarantined);
  onKeysChanged();
}

std::optional<Duration> ServerGate::quarantineLeft(const ForwardFrame& frame) const {
  if (quarantine_ == nullptr || !quarantine_->isActive()) {
    return std::nullopt;
  }
  return quarantine_->timeLeft(fingerprintOf(frame.http), clock_.now());
}

void ServerGate::closeKeys() {
  keys_closed_ = true;
  giveBackAll(ForwardReason::Draining);
}

ForwardReason ServerGate::reasonNotToBegin(const ForwardFrame& frame, TimePoint deadline, TimePoint now) const {
  if (quarantineLeft(frame)) {
    return ForwardReason::Quarantined;
  }
  if (isEvacuated(frame)) {
    return ForwardReason::Evacuated;
  }
  if (instance_.empty() || silent_) {
    return ForwardReason::ServerDown;
  }
  if (frame.instance != instance_) {
    return ForwardReason::WrongInstance;
  }
  // A process may still own keys when it ends, if others have stopped with it. Its last requests would be cut at the
  // server: four of 124 stops on a deployment of 59 nodes, two or three of which stop each second, end that way.
  const bool may_be_cut = deadline > ends_at_;
  if (may_be_cut || (draining_ && (!frame.keyed || keys_closed_))) {
    return ForwardReason::Draining;
  }
  if (!frame.keyed) {
    return ForwardReason::None;
  }
  const KeyState standing = keeper_ == nullptr ? KeyState::OwnedElsewhere : keeper_->keyState(frame.key, now);
  switch (standing) {
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

ForwardReplyFrame ServerGate::refusal(const ForwardFrame& frame, ForwardReason reason, Duration retry_after) {
  ForwardReplyFrame reply;
  reply.exchange = frame.exchange;
  reply.outcome = ForwardOutcome::NotRun;
  reply.reason = reason;
  reply.retry_after_us = quarantineLeft(frame).value_or(retry_after).count();
  reply.load = load();
  if (frame.keyed && keeper_ != nullptr && reason == ForwardReason::Overloaded) {
    keeper_->onKeyRequestRefused(frame.key, clock_.now());
  }
  if (frame.keyed && keeper_ != nullptr) {
    const OwnerHint hint = keeper_->hintFor(frame.key);
    // A key that is this server's, but not granted yet, is waited for; only who named an earlier life asks again at
    // once.
    const bool waits_here = hint.owner == instance_ && reason != ForwardReason::WrongInstance;
    reply.hint = waits_here ? OwnerHint{} : hint;
  }
  GateInputs inputs{instance_, reply.load, longestWait(frame), 0, {}};
  if (frame.keyed && keeper_ != nullptr) {
    inputs.table = keeper_->tableWriter().revision();
    inputs.lease_left = std::max(keeper_->leaseUntil() - clock_.now(), Duration::zero());
  }
  recorder_.refused(frame, reason, retry_after, inputs);
  return reply;
}

QueueTicket ServerGate::forward(ForwardFrame frame, ForwardCallback done) {
  const TimePoint now = clock_.now();
  const QueueTicket ticket = ++last_ticket_;
  const TimePoint deadline = now + Duration(frame.remaining_us);
  const ForwardReason reason = reasonNotToBegin(frame, deadline, now);
  if (reason == ForwardReason::None) {
    admit(ticket, std::move(frame), std::move(done));
  } else if (reason == ForwardReason::NotYetOwner) {
    hold(ticket, std::move(frame), std::move(done));
  } else {
    done(refusal(frame, reason, kKeyRetryAfter));
  }
  return ticket;
}

void ServerGate::hold(QueueTicket ticket, ForwardFrame frame, ForwardCallback done) {
  const TimePoint now = clock_.now();
  const Key range = rangeOf(frame.key);
  key_waits_.noteWaiting(range, now);
  const Duration expected = key_waits_.expectedLeft(range, now);
  const Duration longest = longestWait(frame);
  if (expected > longest) {
    done(refusal(frame, ForwardReason::NotYetOwner, std::max(expected, kKeyRetryAfter)));
    return;
  }
  const TimePoint deadline = now + Duration(frame.remaining_us);
  held_.emplace(ticket, Held{std::move(frame), std::move(done), now + longest, deadline});
}

bool ServerGate::isOnItsWay(Key key, TimePoint now) const {
  const KeyState standing = keeper_ == nullptr ? KeyState::OwnedElsewhere : keeper_->keyState(key, now);
  return standing == KeyState::Pending || standing == KeyState::Moving;
}

Key ServerGate::rangeOf(Key key) const {
  const OwnedRange* range = keeper_ == nullptr ? nullptr : keeper_->tableWriter().table().find(key);
  return range == nullptr ? key : range->keys.first;
}

void ServerGate::retryHeld(QueueTicket ticket) {
  const auto found = held_.find(ticket);
  if (found == held_.end()) {
    return;
  }
  const TimePoint now = clock_.now();
  const ForwardReason reason = reasonNotToBegin(found->second.frame, found->second.deadline, now);
  if (reason == ForwardReason::NotYetOwner && now < found->second.until) {
    return;
  }
  auto node = held_.extract(found);
  Held& held = node.mapped();
  if (reason != ForwardReason::None) {
    held.done(refusal(held.frame, reason, kKeyRetryAfter));
    return;
  }
  held.frame.remaining_us = (held.deadline - now).count();
  admit(ticket, std::move(held.frame), std::move(held.done));
}

void ServerGate::onKeysChanged() {
  std::vector<QueueTicket> tickets;
  tickets.reserve(held_.size());
  for (const auto& [ticket, held] : held_) {
    tickets.push_back(ticket);
  }
  for (const QueueTicket ticket : tickets) {
    retryHeld(ticket);
  }
}

void ServerGate::admit(QueueTicket ticket, ForwardFrame frame, ForwardCallback done) {
  const TimePoint now = clock_.now();
  if (frame.keyed) {
    keeper_->onKeyRequest(frame.key, now);
  }
  const Duration remaining(frame.remaining_us);
  const Duration longest_wait = longestWait(frame);
  const double expected_bytes = answer_sizes_.expected(frame.kind);
  if (expected_bytes > 0) {
    const Duration link_wait = machine_link_.wait_for(expected_bytes_);
    if (link_wait > longest_wait) {
      done(refusal(frame, ForwardReason::Overloaded, link_wait));
      return;
    }
  }
  const QueueRank rank{frame.priority, 0, Duration(frame.target_us), now + remaining};
  const QueueDecision decision = queue_.arrive(ticket, frame.tenant, rank, now, longest_wait);
  if (decision.verdict == QueueVerdict::Refuse || decision.verdict == QueueVerdict::TenantFull) {
    const bool tenant_full = decision.verdict == QueueVerdict::TenantFull;
    done(refusal(frame, tenant_full ? ForwardReason::QueueFull : ForwardReason::Overloaded, decision.predicted_wait));
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
    begin(ticket);
  }
}

Duration ServerGate::longestWait(const ForwardFrame& frame) const {
  const Duration expected = service_times_.expected(frame.route, queue_.meanService());
  const Duration until_caller_leaves = Duration(frame.remaining_us) - expected;
  // What it has waited elsewhere counts.
  const Duration until_late = Duration(frame.target_us) - Duration(frame.held_us) - expected;
  return std::min(std::max(until_late, config_.least_wait_limit), until_caller_leaves);
}

void ServerGate::begin(QueueTicket ticket) {
  Entry& entry = entries_.at(ticket);
  const TimePoint now = clock_.now();
  const Duration remaining = entry.deadline - now;
  ForwardReason reason = reasonNotToBegin(entry.frame, entry.deadline, now);
  if (reason == ForwardReason::None && remaining < kLeastRemaining) {
    reason = ForwardReason::Overloaded;
  }
  if (reason != ForwardReason::None) {
    queue_.ended(std::nullopt);
    giveBack(ticket, reason, kKeyRetryAfter);
    return;
  }
  entry.running = true;
  entry.started = now;
  entry.fingerprint = fingerprintOf(entry.frame.http);
  unanswered_.begun(ticket, entry.fingerprint);
  ServerRequestHead head{entry.frame.id, instance_, remaining, entry.frame.caller, std::nullopt};
  if (entry.frame.keyed) {
    head.key = entry.frame.key;
  }
  ServerRequest request{std::move(entry.frame.http), std::move(head)};
  entry.exchange =
      link_.send(std::move(request), [this, ticket](ServerResult result) { onResult(ticket, std::move(result)); });
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
  queue_.ended(answered ? std::optional<Duration>(service_time) : std::nullopt);
  recorder_.ended(entry.frame, entry.fingerprint, result, entry.started - entry.arrived, service_time);
  noteEnd(ticket, entry.fingerprint, result);
  noteAnswer(result);
  noteFailure(result);
  if (result.reason == ForwardReason::NotOwner && keeper_ != nullptr) {
    keeper_->onKeyRefused(entry.frame.key);
  }
  if (answered) {
    answer_sizes_.note(entry.frame.kind, result.http.body.size());
    service_times_.note(entry.frame.route, service_time);
  }
  ForwardReplyFrame reply;
  reply.exchange = entry.frame.exchange;
  reply.outcome = result.outcome;
  reply.reason = result.reason;
  reply.reached_server = result.reached_server;
  reply.service_us = answered ? service_time.count() : 0;
  reply.http = std::move(result.http);
  reply.load = load();
  if (!entry.abandoned) {
    entry.done(std::move(reply));
  }
  startWaiting();
}

void ServerGate::noteEnd(QueueTicket ticket, const RequestFingerprint& fingerprint, const ServerResult& result) {
  const TimePoint now = clock_.now();
  if (!result.reached_server || result.reason == ForwardReason::WrongInstance) {
    unanswered_.notReached(ticket);
  } else if (result.outcome != ForwardOutcome::Unknown) {
    const bool ran_well = result.ranWell();
    unanswered_.answered(ticket, ran_well, now);
    if (ran_well) {
      events_.served(fingerprint);
    }
  } else if (result.reason == ForwardReason::Cancelled || result.reason == ForwardReason::TimedOut) {
    unanswered_.abandoned(ticket, now);
  } else {
    unanswered_.broken(ticket, now);
  }
}

void ServerGate::noteAnswer(const ServerResult& result) {
  if (result.server_gone) {
    events_.server_gone();
    return;
  }
  if (result.no_connection) {
    ++failed_connections_;
    if (failed_connections_ >= kSilentAfterConnections && !silent_ && !instance_.empty()) {
      silent_ = true;
      events_.silence(true);
      giveBackAll(ForwardReason::ServerDown);
    }
    return;
  }
  if (result.outcome != ForwardOutcome::Unknown) {
    failed_connections_ = 0;
    last_answer_ = clock_.now();
  }
}

void ServerGate::noteFailure(const ServerResult& result) {
  // What the caller took back, and keys that are elsewhere, say nothing about the server.
  const bool says_nothing = result.reason == ForwardReason::Cancelled || result.reason == ForwardReason::NotOwner ||
                            result.reason == ForwardReason::WrongInstance;
  if (!says_nothing) {
    failures_.note(!result.ranWell(), clock_.now());
  }
}

void ServerGate::startWaiting() {
  while (const auto ticket = queue_.startNext(clock_.now())) {
    begin(*ticket);
  }
}

void ServerGate::giveBack(QueueTicket ticket, ForwardReason reason, Duration retry_after) {
  const std::optional<Entry> entry = takeEntry(ticket);
  if (entry && !entry->abandoned) {
    entry->done(refusal(entry->frame, reason, retry_after));
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

void ServerGate::giveBackAll(ForwardReason reason) {
  for (const QueueTicket ticket : queue_.takeAll()) {
    giveBack(ticket, reason, {});
  }
  onKeysChanged();
}

void ServerGate::cancel(QueueTicket ticket) {
  held_.erase(ticket);
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
  if (mayRepeat(entry.frame.kind)) {
    // Ends as cancelled, from the loop; its slot is free then.
    link_.cancel(entry.exchange);
  }
}

bool ServerGate::isRunning(QueueTicket ticket) const {
  const auto found = entries_.find(ticket);
  return found != entries_.end() && found->second.running;
}

void ServerGate::tick() {
  const TimePoint now = clock_.now();
  key_waits_.update([this, now](Key first) { return isOnItsWay(first, now); }, now);
  if (!held_.empty()) {
    onKeysChanged();
  }
  for (const QueueTicket ticket : queue_.takeOverdue(now)) {
    giveBack(ticket, ForwardReason::Overloaded, queue_.meanService());
  }
  applyColdness();
  startWaiting();
  checkSilence(now);
}

void ServerGate::checkSilence(TimePoint) {
  if (!silent_ || probing_ || instance_.empty()) {
    return;
  }
  probing_ = true;
  link_.identify(health_path_, [this](const ServerId& server, bool refused) {
    probing_ = false;
    if (refused) {
      events_.server_gone();
    } else if (!server.empty()) {
      silent_ = false;
      failed_connections_ = 0;
      assumeCold();
      events_.silence(false);
    }
  });
}

}  // namespace shedlever
