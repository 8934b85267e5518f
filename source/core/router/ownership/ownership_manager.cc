#include "source/core/router/ownership/ownership_manager.h"

#include <algorithm>
#include <utility>

#include "source/core/router/duration_format.h"
#include "source/core/router/ownership/owner_table_delta.h"
#include "source/core/router/ownership/placement/weighted_division.h"

namespace shedlever {

OwnershipManager::OwnershipManager(NodeIdentity self, ServiceName service, const OwnershipConfig& config,
                                   OwnershipPorts ports)
    : self_(std::move(self)),
      service_(std::move(service)),
      config_(config),
      ports_(std::move(ports)),
      writer_(service_, *ports_.store,
              [this] {
                checkEpochAtStart();
                reportFirstDivision();
                key_load_.recordGains(writer_.table().ownedBy(instance_), ports_.clock->now());
                ports_.on_change();
              }),
      shared_writes_(self_.name, service_, config_, sharedWritesPorts()),
      grant_selector_(self_.name, writer_.table()),
      candidates_(self_.name, service_, config_, *ports_.directory, writer_.table()),
      lease_(self_, config_, *ports_.store, *ports_.clock, [this] { onLeaseRevoked(); }),
      takeover_(
          config_, *ports_.store, *ports_.clock, [this] { return writer_.table().lastToken(); },
          [this](const NodeName& node, FenceToken newest_token) { takeOverRanges(node, newest_token); }),
      balancer_(config_, *ports_.directory, candidates_, writer_.table(), key_load_),
      planner_(self_.name, service_, config_, *ports_.directory, writer_.table(), plannerPorts()),
      moves_(movePorts()),
      first_division_(config_) {
  if (config_.grant_delivery == GrantDelivery::Heartbeat) {
    auto grants = std::make_unique<HeartbeatGrants>(config_, ports_.clock->now(), grantEvents());
    heartbeat_grants_ = grants.get();
    earlier_end_ = InstanceEnd::Certain;
    grants_ = std::move(grants);
  } else {
    grants_ = std::make_unique<RequestGrants>(config_, *ports_.server_commands, *ports_.clock, grantEvents());
  }
  writer_.setRestoreDelays(restoreDelays());
  balancer_.plans().setEventCallback(ports_.on_placement);
}

ServicePlanner::Ports OwnershipManager::plannerPorts() {
  const auto send = [this](const NodeName& node, const PlacementPlanFrame& plan) {
    if (node == self_.name) {
      onPlacementPlan(node, plan);
    } else {
      ports_.send_plan(node, plan);
    }
  };
  return {send, ports_.on_placement};
}

void OwnershipManager::onPlacementPlan(const NodeName& sender, const PlacementPlanFrame& plan) {
  if (plan.service == service_ && planner_.isActive()) {
    balancer_.plans().onPlan(sender, plan, instance_, planner_.silenceLimit(), ports_.clock->now());
  }
}

SharedWrites::Ports OwnershipManager::sharedWritesPorts() {
  SharedWrites::Ports ports;
  ports.writer = &writer_;
  ports.store = ports_.store;
  ports.clock = ports_.clock;
  ports.selector = {ports_.directory, ports_.can_send_edits, ports_.connect};
  ports.send = ports_.send_edits;
  ports.on_batch = [this](std::size_t changes, std::size_t edits) {
    ports_.on_shared_write("shared-write-batch");
    logEvent("edits of others written", std::to_string(changes) + " changes, " + std::to_string(edits) + " edits");
  };
  ports.on_fallback = [this](const std::string& reason, const NodeName& node) {
    ports_.on_shared_write("shared-write-fallback");
    logEvent("edits not written by another process", reason + (node.empty() ? "" : " from " + node.value));
  };
  return ports;
}

KeyMoves::Ports OwnershipManager::movePorts() {
  KeyMoves::Ports ports;
  ports.writer = &writer_;
  ports.clock = ports_.clock;
  ports.release_retry = config_.command_retry;
  ports.change = [this](const std::string& what, std::vector<TableEdit> edits, TableWriter::Done done) {
    queueChange(what, std::move(edits), std::move(done));
  };
  ports.transfer = [this](const std::string& what, const std::vector<OwnerLocation>& to, std::vector<TableEdit> edits,
                          TableWriter::Done done) {
    const bool lapsed = lapsedReleases() > lapsed_before_moves_;
    const auto proof = lapsed ? OwnerChangeProof::GrantsExpired : OwnerChangeProof::ReleaseAnswered;
    TableWriter::Done reported = reportOwners({proof, self_.name, {}, {}}, edits, std::move(done));
    queueTransfer(what, to, std::move(edits), std::move(reported));
  };
  ports.release = [this](const OwnedRange& range, GrantChannel::ReleaseCallback done) {
    grants_->release(range, std::move(done));
  };
  ports.targets = [this] { return candidates_.targets(ports_.clock->now()); };
  ports.rate_of = [this](const KeyRange& keys) { return key_load_.rateOf(keys, ports_.clock->now()); };
  ports.on_server_gone = [this] { ports_.on_server_gone(); };
  ports.on_batch_done = [this] { balancer_.onMovesDone(ports_.clock->now()); };
  return ports;
}

GrantChannel::Events OwnershipManager::grantEvents() {
  GrantChannel::Events events;
  events.superseded = [this](const OwnedRange& range) {
    peer_table_outdated_ = !tableIsRead();
    queueChange("token raised", {raiseToken(range, {instance_, self_.name})});
  };
  events.server_gone = [this] { ports_.on_server_gone(); };
  events.newly_held = [this] { ports_.on_change(); };
  return events;
}

void OwnershipManager::logEvent(const std::string& what, const std::string& detail) {
  if (ports_.on_event) {
    ports_.on_event({what, detail});
  }
}

TableWriter::Done OwnershipManager::reportOwners(OwnerChange change, std::vector<TableEdit> edits,
                                                 TableWriter::Done done) {
  return
      [this, change = std::move(change), edits = std::move(edits), done = std::move(done)](const EditResults& results) {
        OwnerChange written = change;
        written.transfers = transfersIn(edits, results, writer_.table());
        if (!written.transfers.empty()) {
          ports_.on_owner_change(written);
        }
        if (done) {
          done(results);
        }
      };
}

void OwnershipManager::reportFirstDivision() {
  if (!sent_division_) {
    return;
  }
  const OwnerTable sent = *std::exchange(sent_division_, std::nullopt);
  if (sent.ranges() == writer_.table().ranges()) {
    ports_.on_owner_change({OwnerChangeProof::PlannedFirstDivision, {}, {}, firstTransfers(sent)});
  }
}

void OwnershipManager::serverUp(const InstanceId& instance, InstanceEnd earlier, TimePoint now) {
  if (instance_ == instance) {
    return;
  }
  if (hasServer()) {
    earlier_end_ = earlier;
  }
  instance_ = instance;
  balancer_.setFailureRatio(0);
  gone_instance_ = {};
  draining_ = false;
  server_since_ = now;
  moves_.cancel();
  grants_->clear();
}

void OwnershipManager::serverCrashed(const InstanceId& instance) {
  if (gone_instance_ == instance) {
    earlier_end_ = InstanceEnd::Certain;
  }
}

void OwnershipManager::serverGone() {
  if (!hasServer()) {
    return;
  }
  earlier_end_ = InstanceEnd::Suspected;
  gone_instance_ = std::exchange(instance_, {});
  moves_.cancel();
  grants_->clear();
}

std::optional<TimePoint> OwnershipManager::earlierHoldsUntil() const {
  return earlier_end_ == InstanceEnd::Certain ? std::nullopt : std::optional(grants_->earlierHoldsUntil());
}

EarlierGrants OwnershipManager::earlierGrants() const {
  const std::optional<TimePoint> until = earlierHoldsUntil();
  return until && ports_.clock->now() < *until ? EarlierGrants::MayLast : EarlierGrants::RunOut;
}

void OwnershipManager::onLeaseRevoked() {
  logEvent("lease revoked", "");
  must_confirm_ = true;
  ++revocations_;
  grants_->clear();
  // The releases of these moves were dropped with the grants; their marks are removed with the confirmation.
  moves_.cancel();
}

void OwnershipManager::checkEpochAtStart() {
  if (start_checked_ || !writer_.exists() || ports_.store->epoch() == 0) {
    return;
  }
  start_checked_ = true;
  if (writer_.table().epoch() < ports_.store->epoch()) {
    logEvent("table of an earlier era found at start", "");
    must_confirm_ = true;
    lease_.requireConfirmation();
    grants_->clear();
  }
}

std::vector<OwnedRange> OwnershipManager::grantable() const {
  const bool outdated = peer_table_outdated_ && !tableIsRead();
  return mayGrant() && !outdated ? grant_selector_.owned(instance_) : std::vector<OwnedRange>{};
}

std::vector<OwnedRange> OwnershipManager::assignable(const KeyReport& report) const {
  if (!mayGrant()) {
    return {};
  }
  if (!tableIsRead()) {
    return grant_selector_.resumable(instance_, report);
  }
  return moves_.empty() ? grant_selector_.ownedOrStillHeld(instance_, report) : grant_selector_.owned(instance_);
}

void OwnershipManager::onKeyReport(const KeyReport& report) {
  if (heartbeat_grants_ != nullptr) {
    heartbeat_grants_->onReport(report, ports_.clock->now());
  }
}

bool OwnershipManager::wouldChange(const KeyReport& report) const {
  const bool may_assign = mayGrant() && lease_.valid(ports_.clock->now());
  return heartbeat_grants_ != nullptr && may_assign && heartbeat_grants_->wouldChange(assignable(report), report);
}

std::optional<KeyAssignment> OwnershipManager::assign(const KeyReport& report, TimePoint received) {
  if (heartbeat_grants_ == nullptr || !mayGrant()) {
    return std::nullopt;
  }
  return heartbeat_grants_->assign(assignable(report), report, lease_.validUntil(), received, ports_.clock->now());
}

void OwnershipManager::onAcknowledged() {
  if (heartbeat_grants_ != nullptr) {
    heartbeat_grants_->onAcknowledged();
  }
}

KeyState OwnershipManager::keyState(Key key, TimePoint now) const {
  const OwnedRange* range = writer_.table().find(key);
  const bool is_own = range != nullptr && range->owner == instance_;
  if (!hasServer() || (!is_own && tableIsRead())) {
    return KeyState::OwnedElsewhere;
  }
  // A range that is being released is served until the server has been asked to release it.
  if (!must_confirm_ && lease_.valid(now) && grants_->isHeld(key, now)) {
    return KeyState::Held;
  }
  if (!is_own) {
    return KeyState::OwnedElsewhere;
  }
  return range->releasing ? KeyState::Moving : KeyState::Pending;
}

OwnerHint OwnershipManager::hintFor(Key key) const {
  const OwnedRange* range = writer_.table().find(key);
  // A request for an earlier instance of this node's server gets no hint until the table names the present one.
  const bool is_earlier_instance = range != nullptr && range->node == self_.name && range->owner != instance_;
  if (range == nullptr || range->owner.empty() || is_earlier_instance) {
    return {};
  }
  return {writer_.revision(), range->keys.first, range->keys.last, range->owner, range->node};
}

bool OwnershipManager::ownsNothing() const {
  const auto owned = writer_.table().ownedAt(self_.name);
  return owned.empty();
}

void OwnershipManager::queueChange(const std::string& what, std::vector<TableEdit> edits, TableWriter::Done done,
                                   WrittenBy written_by) {
  ++pending_changes_;
  auto ended = [this, what, done = std::move(done)](const EditResults& results) {
    --pending_changes_;
    logEvent(what, anyInTable(results) ? "written" : "no longer applies");
    if (done) {
      done(results);
    }
  };
  if (written_by == WrittenBy::ThisProcess) {
    writer_.change(std::move(edits), std::move(ended));
  } else {
    shared_writes_.change(std::move(edits), std::move(ended));
  }
}

void OwnershipManager::queueTransfer(const std::string& what, const std::vector<OwnerLocation>& to,
                                     std::vector<TableEdit> edits, TableWriter::Done done, WrittenBy written_by) {
  std::set<NodeName> recipients;
  for (const OwnerLocation& location : to) {
    if (location.node != self_.name) {
      recipients.insert(location.node);
    }
  }
  const auto ended = [this, recipients, done = std::move(done)](const EditResults& results) {
    if (anyInTable(results) && ports_.on_keys_transferred) {
      sendTransferredKeys(recipients);
    }
    if (done) {
      done(results);
    }
  };
  queueChange(what, std::move(edits), ended, written_by);
}

void OwnershipManager::sendTransferredKeys(const std::set<NodeName>& recipients) {
  const TableWriter::Version& base = writer_.previousVersion();
  OwnerTableDeltaFrame delta = makeDelta(writer_.table(), digestOf(base.table));
  delta.name = ownerTableName(service_);
  delta.base = base.revision;
  delta.revision = writer_.revision();
  ports_.on_keys_transferred(delta, recipients);
}

void OwnershipManager::tick(TimePoint now) {
  if (last_tick_ != TimePoint{} && now - last_tick_ > config_.pause_limit) {
    takeover_.reset();
  }
  last_tick_ = now;
  if (writer_.awaitsRestore()) {
    // The rank depends on which other nodes are available.
    writer_.setRestoreDelays(restoreDelays());
  }
  writer_.tick(now);
  shared_writes_.tick(now);
  checkEpochAtStart();
  request_rate_ = key_load_.requestRate(writer_.table().ownedBy(instance_), now);
  if (hasServer()) {
    lease_.tick(now);
  }
  if (!writer_.exists()) {
    createInitialTable(now);
    return;
  }
  grants_->update(grantable(), lease_.validUntil(), now);
  moves_.tick(now);
  if (pending_changes_ == 0) {
    reconcileOwnRanges();
  }
  if (pending_changes_ == 0) {
    reassignGoneServerRanges(now);
  }
  checkUnreachableOwners(now);
  if (hasServer()) {
    planner_.tick(now);
  }
  if (pending_changes_ == 0 && moves_.empty() && hasServer() && lease_.valid(now)) {
    if (movesKeysAway() || serverGrantsLapsed(now)) {
      startMoves(balancer_.moveAll(instance_, candidates_.unlimitedTargets(now), now));
    } else {
      balance(now);
    }
  }
}

TableWriter::RestoreDelays OwnershipManager::restoreDelays() const {
  const Duration hold =
      config_.grant_delivery == GrantDelivery::Heartbeat ? config_.heartbeat_hold : config_.longest_earlier_hold;
  const auto max_hold = std::chrono::duration_cast<Duration>(hold * config_.clock_drift_factor);
  const Duration rank_wait = config_.restore_step * static_cast<int>(candidates_.rank());
  return {rank_wait, max_hold + config_.lease_margin + rank_wait};
}

void OwnershipManager::createInitialTable(TimePoint now) {
  if (!writer_.known() || !hasServer() || movesKeysAway()) {
    return;
  }
  const KnownServers servers{candidates_.available(), candidates_.rank(), ports_.servers_confirmed_at()};
  switch (first_division_.next(servers, server_since_, now)) {
    case DivisionStep::Wait:
      return;
    case DivisionStep::ConfirmServers:
      ports_.confirm_servers();
      return;
    case DivisionStep::Divide:
      divideFirst(servers.available, now);
      return;
  }
}

void OwnershipManager::divideFirst(const std::vector<OwnerLocation>& locations, TimePoint now) {
  const auto ranges_per_server = config_.max_initial_ranges / static_cast<std::uint32_t>(locations.size());
  OwnerTable table = OwnerTable::divideEvenly(
      locations, std::clamp(ranges_per_server, 1U, config_.initial_ranges_per_server), ports_.store->epoch());
  if (planner_.isActive()) {
    table = resizeBySlots(table, [this](const NodeName& node) {
      const NodeRecord* record = ports_.directory->node(node);
      return record == nullptr ? 0U : record->slots;
    });
  }
  const bool created = writer_.create(table);
  if (created) {
    sent_division_ = table;
    logEvent("first division",
             std::to_string(locations.size()) + " servers after " + formatMilliseconds(now - server_since_) + " ms");
  }
}

void OwnershipManager::reconcileOwnRanges() {
  const OwnerLocation self{instance_, self_.name};
  if (must_confirm_) {
    if (hasServer()) {
      confirmOwnRanges();
    }
    return;
  }
  const auto owned = writer_.table().ownedAt(self_.name);
  const EarlierGrants earlier = earlierGrants();
  const auto needs_reclaim = [&](const OwnedRange& range) {
    return needsReclaim(range, self, !moves_.empty(), earlier);
  };
  if (!hasServer() || std::none_of(owned.begin(), owned.end(), needs_reclaim)) {
    return;
  }
  std::vector<TableEdit> edits = reclaimRanges(writer_.table(), self, earlier);
  TableWriter::Done reported =
      reportOwners({OwnerChangeProof::EarlierInstance, self_.name, earlierHoldsUntil(), {}}, edits);
  queueChange("ranges of an earlier instance reclaimed", std::move(edits), std::move(reported));
}

void OwnershipManager::confirmOwnRanges() {
  const std::vector<TableEdit> edits = confirmRanges(writer_.table(), {instance_, self_.name});
  if (edits.empty()) {
    // Without a write only a read shows that the store's table has no ranges of this server.
    writer_.requireRead();
  }
  const auto ended = [this, edits, instance = instance_, revocations = revocations_](const EditResults& results) {
    const bool outdated = instance != instance_ || revocations != revocations_;
    // The table may hold ranges of this server that were not known when the edits were made.
    must_confirm_ = outdated || !allConfirmed(writer_.table(), instance_, edits, results);
    if (!must_confirm_) {
      lease_.onConfirmed();
    }
  };
  queueChange("ranges confirmed", edits, ended, WrittenBy::ThisProcess);
}

void OwnershipManager::reassignGoneServerRanges(TimePoint now) {
  if (gone_instance_.empty() || earlierGrants() == EarlierGrants::MayLast) {
    return;
  }
  const std::vector<OwnerLocation> to = candidates_.unlimitedTargets(now);
  // Ranges of instances before the one that is gone may be left, if none has reclaimed them.
  const auto left = writer_.table().ownedAt(self_.name);
  if (left.empty()) {
    gone_instance_ = {};
    return;
  }
  if (to.empty()) {
    return;
  }
  const InstanceId owner = left.front().owner;
  const std::vector<KeyRange> pieces = key_load_.split(writer_.table().ownedBy(owner), to.size(), now);
  std::vector<TableEdit> edits = reassignPieces(writer_.table(), owner, pieces, to);
  TableWriter::Done reported =
      reportOwners({OwnerChangeProof::ConnectionRefused, self_.name, earlierHoldsUntil(), {}}, edits);
  queueTransfer("ranges of dead server reassigned", to, std::move(edits), std::move(reported));
}

void OwnershipManager::checkUnreachableOwners(TimePoint now) {
  std::set<NodeName> suspects;
  if (hasServer() && lease_.valid(now) && !movesKeysAway()) {
    for (const OwnedRange& range : writer_.table().ranges()) {
      if (range.node != self_.name && ports_.directory->isUnreachable(range.node)) {
        suspects.insert(range.node);
      }
    }
  }
  takeover_.tick(suspects, config_.rank_delay * static_cast<int>(candidates_.rank()), now);
}

void OwnershipManager::takeOverRanges(const NodeName& node, FenceToken newest_token) {
  const TimePoint now = ports_.clock->now();
  std::vector<OwnerLocation> to = candidates_.unlimitedTargets(now);
  if (hasServer()) {
    to.push_back({instance_, self_.name});
  }
  std::erase_if(to, [&](const OwnerLocation& location) { return location.node == node; });
  if (to.empty()) {
    // Another node finds the revoked lease and takes the ranges over.
    logEvent("ranges not taken over from " + node.value, "no server");
    return;
  }
  // Only ranges that the node owned when its lease was revoked; it may have confirmed its ranges since.
  std::vector<OwnedRange> lost = writer_.table().ownedAt(node);
  std::erase_if(lost, [newest_token](const OwnedRange& range) { return range.token > newest_token; });
  std::vector<TableEdit> edits = takeOver(lost, to);
  // The lease had ended at least `lease_margin` before it was revoked.
  TableWriter::Done reported =
      reportOwners({OwnerChangeProof::LeaseRevoked, node, now - config_.lease_margin, {}}, edits);
  queueTransfer("ranges taken over from " + node.value, to, std::move(edits), std::move(reported),
                WrittenBy::ThisProcess);
}

void OwnershipManager::balance(TimePoint now) {
  balancer_.setServicePlan(planner_.isActive() ? std::optional<Duration>(planner_.silenceLimit()) : std::nullopt);
  const BalanceStep step = balancer_.nextStep(instance_, now);
  if (step.merge_ranges) {
    mergeRanges();
  }
  startMoves(step.moves);
}

void OwnershipManager::startMoves(const KeyTransfer& moves) {
  if (!moves.pieces.empty()) {
    lapsed_before_moves_ = lapsedReleases();
    moves_.start({instance_, self_.name}, moves.pieces, moves.to);
  }
}

void OwnershipManager::mergeRanges() {
  queueChange("adjacent ranges merged", {TableEdit::mergeAdjacentRanges(instance_)});
}

}  // namespace shedlever
