#include "source/core/router/ownership_manager.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shedlever {

namespace {

/// Hot keys change within seconds.
constexpr Duration kWorkHalfLife = std::chrono::seconds(1);

}  // namespace

OwnershipManager::OwnershipManager(NodeIdentity self, ServiceName service, const OwnershipConfig& config,
                                   OwnershipPorts ports)
    : self_(std::move(self)),
      service_(std::move(service)),
      config_(config),
      ports_(std::move(ports)),
      writer_(service_, *ports_.store,
              [this] {
                checkEpochAtStart();
                gains_.recordGains(writer_.table().ownedBy(instance_), ports_.clock->now());
                ports_.on_change();
              }),
      lease_(self_, config_, *ports_.store, *ports_.clock, [this] { onLeaseRevoked(); }),
      takeover_(config_, *ports_.store, *ports_.clock, [this](const NodeName& node) { takeOverRanges(node); }),
      meter_(kWorkHalfLife),
      gains_(kWorkHalfLife),
      planner_(meter_, config_),
      moves_(movePorts()) {
  if (config_.grant_delivery == GrantDelivery::Heartbeat) {
    auto grants = std::make_unique<HeartbeatGrants>(config_, ports_.clock->now(), grantEvents());
    heartbeat_grants_ = grants.get();
    grants_ = std::move(grants);
  } else {
    grants_ = std::make_unique<RequestGrants>(config_, *ports_.orders, *ports_.clock, grantEvents());
  }
  writer_.setRestoreDelays(restoreDelays());
}

KeyMoves::Ports OwnershipManager::movePorts() {
  KeyMoves::Ports ports;
  ports.writer = &writer_;
  ports.change = [this](const std::string& what, TableWriter::Edit edit, TableWriter::Done done) {
    queueChange(what, std::move(edit), std::move(done));
  };
  ports.transfer = [this](const std::string& what, const std::vector<OwnerLocation>& to, TableWriter::Edit edit,
                          TableWriter::Done done) { queueTransfer(what, to, std::move(edit), std::move(done)); };
  ports.release = [this](const OwnedRange& range, GrantChannel::ReleaseCallback done) {
    grants_->release(range, std::move(done));
  };
  ports.targets = [this] { return targets(ports_.clock->now()); };
  ports.rate_of = [this](const KeyRange& keys) { return rateOf(keys, ports_.clock->now()); };
  ports.on_server_gone = [this] { ports_.on_server_gone(); };
  ports.on_batch_done = [this] { next_balance_ = ports_.clock->now() + config_.balance_settle; };
  return ports;
}

GrantChannel::Events OwnershipManager::grantEvents() {
  GrantChannel::Events events;
  events.superseded = [this](const OwnedRange& range) {
    const OwnerLocation place{instance_, self_.name};
    queueChange("token raised", [keys = range.keys, token = range.token, place](OwnerTable& table) {
      const OwnedRange* now = table.find(keys.first);
      return now != nullptr && now->keys == keys && now->token == token && now->owner == place.instance &&
             !now->releasing && table.assign(keys, place, now->handover);
    });
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

void OwnershipManager::serverUp(const InstanceId& instance, TimePoint now) {
  if (instance_ == instance) {
    return;
  }
  instance_ = instance;
  failure_ratio_ = 0;
  dead_instance_ = {};
  draining_ = false;
  server_since_ = now;
  moves_.cancel();
  grants_->clear();
}

void OwnershipManager::serverDead() {
  if (!hasServer()) {
    return;
  }
  dead_instance_ = std::exchange(instance_, {});
  moves_.cancel();
  grants_->clear();
}

void OwnershipManager::onLeaseRevoked() {
  logEvent("lease revoked", "");
  must_confirm_ = true;
  grants_->clear();
}

void OwnershipManager::checkEpochAtStart() {
  if (start_checked_ || !writer_.exists() || ports_.store->epoch() == 0) {
    return;
  }
  start_checked_ = true;
  if (writer_.table().epoch() < ports_.store->epoch()) {
    logEvent("table of an earlier era found at start", "");
    must_confirm_ = true;
    grants_->clear();
  }
}

std::vector<OwnedRange> OwnershipManager::grantable() const {
  std::vector<OwnedRange> ranges;
  if (!hasServer() || must_confirm_) {
    return ranges;
  }
  for (const OwnedRange& range : writer_.table().ranges()) {
    if (range.owner == instance_ && range.node == self_.name && !range.releasing) {
      ranges.push_back(range);
    }
  }
  return ranges;
}

std::vector<OwnedRange> OwnershipManager::assignable(const KeyReport& report) const {
  if (!tableIsRead()) {
    return resumable(report);
  }
  std::vector<OwnedRange> ranges = grantable();
  // A release that an earlier process began and the server has not heard of is about to be taken back.
  for (const OwnedRange& range : writer_.table().ownedBy(instance_)) {
    const ReportedRange same{range.keys.first, range.keys.last, range.token};
    const bool still_held = std::find(report.held.begin(), report.held.end(), same) != report.held.end();
    if (range.releasing && moves_.empty() && still_held && hasServer() && !must_confirm_) {
      ranges.push_back(range);
    }
  }
  return ranges;
}

/// What the server holds was not given away by this node's earlier process, since that waits for the server to let go,
/// nor by another node while the earlier process's lease lasts.
std::vector<OwnedRange> OwnershipManager::resumable(const KeyReport& report) const {
  std::vector<OwnedRange> ranges;
  if (!hasServer() || must_confirm_) {
    return ranges;
  }
  for (const ReportedRange& held : report.held) {
    const auto is_others = [&](const OwnedRange& range) {
      return range.keys.first <= held.last && held.first <= range.keys.last && range.owner != instance_;
    };
    const std::vector<OwnedRange>& known = writer_.table().ranges();
    if (std::none_of(known.begin(), known.end(), is_others)) {
      OwnedRange range;
      range.keys = {held.first, held.last};
      range.owner = instance_;
      range.node = self_.name;
      range.token = held.token;
      ranges.push_back(range);
    }
  }
  return ranges;
}

void OwnershipManager::onKeyReport(const KeyReport& report) {
  if (heartbeat_grants_ != nullptr) {
    heartbeat_grants_->onReport(report, ports_.clock->now());
  }
}

bool OwnershipManager::wouldChange(const KeyReport& report) const {
  const bool may_tell = hasServer() && !must_confirm_ && lease_.valid(ports_.clock->now());
  return heartbeat_grants_ != nullptr && may_tell && heartbeat_grants_->wouldChange(assignable(report), report);
}

std::optional<KeyAssignment> OwnershipManager::assign(const KeyReport& report, TimePoint received) {
  if (heartbeat_grants_ == nullptr || !hasServer() || must_confirm_) {
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
  // Also while the range is being released, until the server has been told so.
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
  // Who asked for an earlier life of this node's server is told the present one.
  const bool earlier_life = range != nullptr && range->node == self_.name && range->owner != instance_;
  if (range == nullptr || range->owner.empty() || earlier_life) {
    return {};
  }
  return {writer_.revision(), range->keys.first, range->keys.last, range->owner, range->node};
}

bool OwnershipManager::ownsNothing() const {
  const auto owned = writer_.table().ownedAt(self_.name);
  return owned.empty();
}

std::vector<OwnerLocation> OwnershipManager::targets(TimePoint now) const {
  std::vector<const NodeRecord*> ready = ports_.directory->availableServers(service_);
  std::erase_if(ready, [&](const NodeRecord* record) {
    return record->node == self_.name || !ports_.directory->isConfirmedReachable(record->node);
  });
  // Servers at which requests fail are taken only where there are no others.
  const auto is_sound = [&](const NodeRecord* record) {
    return ports_.directory->failureRatio(record->node, now) < config_.failing_share;
  };
  if (std::any_of(ready.begin(), ready.end(), is_sound)) {
    std::erase_if(ready, [&](const NodeRecord* record) { return !is_sound(record); });
  }
  struct Loaded {
    OwnerLocation place;
    double load;
  };
  std::vector<Loaded> loaded;
  for (const NodeRecord* record : ready) {
    const OwnerLocation place{record->instance, record->node};
    loaded.push_back({place, loadOf(place, now)});
  }
  std::stable_sort(loaded.begin(), loaded.end(),
                   [](const Loaded& left, const Loaded& right) { return left.load < right.load; });
  std::vector<OwnerLocation> places;
  places.reserve(loaded.size());
  for (const Loaded& entry : loaded) {
    places.push_back(entry.place);
  }
  return places;
}

std::size_t OwnershipManager::rank() const {
  const auto ready = ports_.directory->availableServers(service_);
  return static_cast<std::size_t>(
      std::count_if(ready.begin(), ready.end(), [&](const NodeRecord* record) { return record->node < self_.name; }));
}

void OwnershipManager::queueChange(const std::string& what, TableWriter::Edit edit, std::function<void(bool)> done) {
  change_pending_ = true;
  writer_.change(std::move(edit), [this, what, done = std::move(done)](bool written) {
    change_pending_ = false;
    logEvent(what, written ? "written" : "no longer applies");
    if (done) {
      done(written);
    }
  });
}

void OwnershipManager::queueTransfer(const std::string& what, const std::vector<OwnerLocation>& to,
                                     TableWriter::Edit edit, std::function<void(bool)> done) {
  std::set<NodeName> gainers;
  for (const OwnerLocation& place : to) {
    if (place.node != self_.name) {
      gainers.insert(place.node);
    }
  }
  queueChange(what, std::move(edit), [this, gainers, done = std::move(done)](bool written) {
    if (written && ports_.on_keys_transferred) {
      ports_.on_keys_transferred({ownerTableName(service_), writer_.revision(), writer_.table().encode()}, gainers);
    }
    if (done) {
      done(written);
    }
  });
}

void OwnershipManager::tick(TimePoint now) {
  if (last_tick_ != TimePoint{} && now - last_tick_ > config_.pause_limit) {
    takeover_.reset();
  }
  last_tick_ = now;
  if (writer_.awaitsRestore()) {
    // The turn hangs on who else is there.
    writer_.setRestoreDelays(restoreDelays());
  }
  writer_.tick(now);
  checkEpochAtStart();
  request_rate_ = gains_.expectedRate(now);
  for (const OwnedRange& range : writer_.table().ownedBy(instance_)) {
    request_rate_ += meter_.rate(range.keys, now);
  }
  if (hasServer()) {
    lease_.tick(now);
  }
  if (!writer_.exists()) {
    createInitialTable(now);
    return;
  }
  grants_->update(grantable(), lease_.validUntil(), now);
  if (!change_pending_) {
    reconcileOwnRanges();
  }
  if (!change_pending_) {
    reassignDeadServerRanges(now);
  }
  checkUnreachableOwners(now);
  if (!change_pending_ && moves_.empty() && hasServer() && lease_.valid(now)) {
    if (givesKeysAway() || serverGrantsLapsed(now)) {
      moveAllRanges(targets(now), now);
    } else {
      balance(now);
    }
  }
}

TableWriter::RestoreDelays OwnershipManager::restoreDelays() const {
  const Duration hold =
      config_.grant_delivery == GrantDelivery::Heartbeat ? config_.heartbeat_hold : config_.grant_hold;
  const auto as_servers_count = std::chrono::duration_cast<Duration>(hold * config_.clock_drift_factor);
  const Duration turn = config_.restore_step * static_cast<int>(rank());
  return {turn, as_servers_count + config_.lease_margin + turn};
}

void OwnershipManager::createInitialTable(TimePoint now) {
  if (!writer_.known() || !hasServer() || givesKeysAway()) {
    return;
  }
  const Duration delay = config_.first_division_delay + config_.rank_delay * static_cast<int>(rank());
  if (now - server_since_ < delay) {
    return;
  }
  std::vector<OwnerLocation> places;
  for (const NodeRecord* record : ports_.directory->availableServers(service_)) {
    places.push_back({record->instance, record->node});
  }
  if (!places.empty()) {
    const auto each = config_.max_initial_ranges / static_cast<std::uint32_t>(places.size());
    writer_.create(OwnerTable::divideEvenly(places, std::clamp(each, 1U, config_.initial_ranges_per_server),
                                            ports_.store->epoch()));
  }
}

void OwnershipManager::reconcileOwnRanges() {
  const OwnerLocation self{instance_, self_.name};
  if (must_confirm_) {
    const auto confirm = [self](OwnerTable& table) {
      bool changed = false;
      for (const OwnedRange& range : table.ownedBy(self.instance)) {
        changed = table.assign(range.keys, self, range.handover) || changed;
      }
      return changed;
    };
    queueChange("ranges confirmed", confirm, [this](bool) { must_confirm_ = false; });
    return;
  }
  const auto owned = writer_.table().ownedAt(self_.name);
  const auto is_left = [this](const OwnedRange& range) {
    const bool older_life = hasServer() && range.owner != instance_;
    return older_life || (range.owner == instance_ && range.releasing && moves_.empty());
  };
  if (!hasServer() || std::none_of(owned.begin(), owned.end(), is_left)) {
    return;
  }
  queueChange("ranges of an earlier life taken up", [self](OwnerTable& table) {
    bool changed = false;
    for (const OwnedRange& range : table.ownedAt(self.node)) {
      if (range.owner != self.instance) {
        changed = table.assign(range.keys, self, {}) || changed;
      } else if (range.releasing) {
        table.abortRelease(range.keys);
        changed = true;
      }
    }
    return changed;
  });
}

void OwnershipManager::reassignDeadServerRanges(TimePoint now) {
  if (dead_instance_.empty()) {
    return;
  }
  const std::vector<OwnerLocation> to = targets(now);
  const auto owned = writer_.table().ownedBy(dead_instance_);
  if (owned.empty()) {
    dead_instance_ = {};
    return;
  }
  if (to.empty()) {
    return;
  }
  std::vector<KeyRange> pieces;
  for (const OwnedRange& range : owned) {
    const auto runs = meter_.split(range.keys, to.size(), now);
    pieces.insert(pieces.end(), runs.begin(), runs.end());
  }
  queueTransfer("dead server's ranges given away", to, [pieces, to, dead = dead_instance_](OwnerTable& table) {
    bool changed = false;
    for (std::size_t i = 0; i < pieces.size(); ++i) {
      const OwnedRange* range = table.find(pieces[i].first);
      if (range != nullptr && range->owner == dead && table.splitOff(pieces[i]) != nullptr) {
        changed = table.assign(pieces[i], to[i % to.size()], {}) || changed;
      }
    }
    return changed;
  });
}

void OwnershipManager::checkUnreachableOwners(TimePoint now) {
  std::set<NodeName> suspects;
  if (hasServer() && lease_.valid(now) && !givesKeysAway()) {
    for (const OwnedRange& range : writer_.table().ranges()) {
      if (range.node != self_.name && ports_.directory->isUnreachable(range.node)) {
        suspects.insert(range.node);
      }
    }
  }
  takeover_.tick(suspects, config_.rank_delay * static_cast<int>(rank()), now);
}

void OwnershipManager::takeOverRanges(const NodeName& node) {
  const TimePoint now = ports_.clock->now();
  std::vector<OwnerLocation> to = targets(now);
  to.push_back({instance_, self_.name});
  std::erase_if(to, [&](const OwnerLocation& place) { return place.node == node; });
  // Only what the node owned when its lease was revoked: it may have confirmed its ranges since.
  const std::vector<OwnedRange> lost = writer_.table().ownedAt(node);
  queueTransfer("ranges taken from " + node.value, to, [to, lost](OwnerTable& table) {
    bool changed = false;
    for (std::size_t i = 0; i < lost.size(); ++i) {
      const OwnedRange* range = table.find(lost[i].keys.first);
      if (range != nullptr && range->keys == lost[i].keys && range->token == lost[i].token) {
        changed = table.assign(lost[i].keys, to[i % to.size()], {}) || changed;
      }
    }
    return changed;
  });
}

std::vector<OwnerLocation> OwnershipManager::healthierTargets(TimePoint now) const {
  if (failure_ratio_ < config_.failing_share) {
    return {};
  }
  std::vector<OwnerLocation> sounder = targets(now);
  std::erase_if(sounder, [&](const OwnerLocation& place) {
    return ports_.directory->failureRatio(place.node, now) > failure_ratio_ - config_.failing_gap;
  });
  return sounder;
}

void OwnershipManager::moveAllRanges(const std::vector<OwnerLocation>& to, TimePoint now) {
  if (to.empty()) {
    return;
  }
  std::vector<KeyRange> pieces;
  for (const OwnedRange& range : writer_.table().ownedBy(instance_)) {
    const auto runs = meter_.split(range.keys, to.size(), now);
    pieces.insert(pieces.end(), runs.begin(), runs.end());
  }
  if (!pieces.empty()) {
    moves_.start({instance_, self_.name}, pieces, to);
  }
}

void OwnershipManager::balance(TimePoint now) {
  if (now < next_balance_) {
    return;
  }
  next_balance_ = now + config_.balance_interval;
  if (const std::vector<OwnerLocation> sounder = healthierTargets(now); !sounder.empty()) {
    moveAllRanges(sounder, now);
    return;
  }
  const std::vector<OwnedRange> owned = writer_.table().ownedBy(instance_);
  if (owned.size() > config_.max_ranges_per_owner && writer_.table().hasMergeableRanges(instance_)) {
    mergeRanges();
    return;
  }
  const std::vector<PlannedMove> moves = planner_.plan(balanceView(owned, now), now);
  if (moves.empty()) {
    return;
  }
  std::vector<KeyRange> pieces;
  std::vector<OwnerLocation> to;
  for (const PlannedMove& move : moves) {
    pieces.push_back(move.keys);
    to.push_back(move.to);
  }
  moves_.start({instance_, self_.name}, pieces, to);
}

BalanceInput OwnershipManager::balanceView(const std::vector<OwnedRange>& owned, TimePoint now) const {
  constexpr double kHundredths = 100.0;
  constexpr double kMilliseconds = 1000.0;
  BalanceInput view;
  view.owned = owned;
  // Where the work lies in ranges that came a moment ago is not known yet.
  std::erase_if(view.owned,
                [&](const OwnedRange& range) { return gains_.gainedWithin(config_.gain_settle, range.keys, now); });
  view.own_load = offered_load_;
  for (const OwnerLocation& place : targets(now)) {
    const ServerLoad* load = ports_.directory->load(place.node, now);
    const bool owns = !writer_.table().ownedBy(place.instance).empty();
    // A server that this node has sent nothing to of late is asked for little.
    OfferedLoad work{0, offered_load_.slots, offered_load_.service_seconds};
    if (load != nullptr && load->slots > 0) {
      work.slots = load->slots;
      work.demand = owns ? load->demand_hundredths / kHundredths : 0.0;
      work.service_seconds = load->mean_service_ms / kMilliseconds;
    }
    view.targets.push_back({place, work});
  }
  return view;
}

std::uint32_t OwnershipManager::rateOf(const KeyRange& keys, TimePoint now) const {
  return static_cast<std::uint32_t>(std::lround(std::max(meter_.rate(keys, now), 0.0)));
}

double OwnershipManager::loadOf(const OwnerLocation& place, TimePoint now) const {
  // A server without keys is idle, whatever its last replies said.
  const bool owns = !writer_.table().ownedBy(place.instance).empty();
  return owns ? ports_.directory->occupancy(place.node, now) : 0.0;
}

void OwnershipManager::mergeRanges() {
  queueChange("neighbours joined", [owner = instance_](OwnerTable& table) { return table.mergeAdjacentRanges(owner); });
}

}  // namespace shedlever
