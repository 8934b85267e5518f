#include "source/core/router/ownership_keeper.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shedlever {

namespace {

/// Hot keys change within seconds.
constexpr Duration kWorkHalfLife = std::chrono::seconds(1);

}  // namespace

OwnershipKeeper::OwnershipKeeper(NodeIdentity self, ServiceName service, const OwnershipConfig& config,
                                 OwnershipPorts ports)
    : self_(std::move(self)),
      service_(std::move(service)),
      config_(config),
      ports_(std::move(ports)),
      writer_(service_, *ports_.store,
              [this] {
                checkStart();
                gains_.note(writer_.table().ownedBy(instance_), ports_.clock->now());
                ports_.on_change();
              }),
      lease_(self_, config_, *ports_.store, *ports_.clock, [this] { onLeaseRevoked(); }),
      takeover_(config_, *ports_.store, *ports_.clock, [this](const NodeName& node) { takeFrom(node); }),
      meter_(kWorkHalfLife),
      gains_(kWorkHalfLife),
      planner_(meter_, config_),
      moves_(movePorts()) {
  if (config_.grants == GrantForm::Heartbeat) {
    auto grants = std::make_unique<HeartbeatGrants>(config_, ports_.clock->now(), grantEvents());
    heartbeats_ = grants.get();
    grants_ = std::move(grants);
  } else {
    grants_ = std::make_unique<OrderedGrants>(config_, *ports_.orders, *ports_.clock, grantEvents());
  }
  writer_.setRestoreTimes(restoreTimes());
}

KeyMoves::Ports OwnershipKeeper::movePorts() {
  KeyMoves::Ports ports;
  ports.writer = &writer_;
  ports.change = [this](const std::string& what, TableWriter::Edit edit, TableWriter::Done done) {
    change(what, std::move(edit), std::move(done));
  };
  ports.give = [this](const std::string& what, const std::vector<OwnerPlace>& to, TableWriter::Edit edit,
                      TableWriter::Done done) { give(what, to, std::move(edit), std::move(done)); };
  ports.release = [this](const OwnedRange& range, GrantChannel::ReleaseCallback done) {
    grants_->release(range, std::move(done));
  };
  ports.targets = [this] { return targets(ports_.clock->now()); };
  ports.rate_of = [this](const KeySpan& keys) { return rateOf(keys, ports_.clock->now()); };
  ports.on_server_gone = [this] { ports_.on_server_gone(); };
  ports.on_given = [this] { next_balance_ = ports_.clock->now() + config_.balance_settle; };
  return ports;
}

GrantChannel::Events OwnershipKeeper::grantEvents() {
  GrantChannel::Events events;
  events.superseded = [this](const OwnedRange& range) {
    const OwnerPlace place{instance_, self_.name};
    change("token raised", [keys = range.keys, token = range.token, place](OwnerTable& table) {
      const OwnedRange* now = table.find(keys.first);
      return now != nullptr && now->keys == keys && now->token == token && now->owner == place.instance &&
             !now->releasing && table.assign(keys, place, now->handover);
    });
  };
  events.server_gone = [this] { ports_.on_server_gone(); };
  events.newly_held = [this] { ports_.on_change(); };
  return events;
}

void OwnershipKeeper::tell(const std::string& what, const std::string& detail) {
  if (ports_.on_event) {
    ports_.on_event({what, detail});
  }
}

void OwnershipKeeper::serverUp(const InstanceId& instance, TimePoint now) {
  if (instance_ == instance) {
    return;
  }
  instance_ = instance;
  failing_ = 0;
  dead_instance_ = {};
  draining_ = false;
  server_since_ = now;
  moves_.forget();
  grants_->forgetAll();
}

void OwnershipKeeper::serverDead() {
  if (!hasServer()) {
    return;
  }
  dead_instance_ = std::exchange(instance_, {});
  moves_.forget();
  grants_->forgetAll();
}

void OwnershipKeeper::onLeaseRevoked() {
  tell("lease revoked", "");
  must_confirm_ = true;
  grants_->forgetAll();
}

void OwnershipKeeper::checkStart() {
  if (start_checked_ || !writer_.exists() || ports_.store->epoch() == 0) {
    return;
  }
  start_checked_ = true;
  if (writer_.table().epoch() < ports_.store->epoch()) {
    tell("table of an earlier era found at start", "");
    must_confirm_ = true;
    grants_->forgetAll();
  }
}

std::vector<OwnedRange> OwnershipKeeper::grantable() const {
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

std::vector<OwnedRange> OwnershipKeeper::tellable(const KeyReport& report) const {
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
std::vector<OwnedRange> OwnershipKeeper::resumable(const KeyReport& report) const {
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

void OwnershipKeeper::onKeyReport(const KeyReport& report) {
  if (heartbeats_ != nullptr) {
    heartbeats_->onReport(report, ports_.clock->now());
  }
}

bool OwnershipKeeper::wouldChange(const KeyReport& report) const {
  const bool may_tell = hasServer() && !must_confirm_ && lease_.valid(ports_.clock->now());
  return heartbeats_ != nullptr && may_tell && heartbeats_->wouldChange(tellable(report), report);
}

std::optional<KeyAssignment> OwnershipKeeper::assign(const KeyReport& report, TimePoint received) {
  if (heartbeats_ == nullptr || !hasServer() || must_confirm_) {
    return std::nullopt;
  }
  return heartbeats_->assign(tellable(report), report, lease_.validUntil(), received, ports_.clock->now());
}

void OwnershipKeeper::onAcknowledged() {
  if (heartbeats_ != nullptr) {
    heartbeats_->onAcknowledged();
  }
}

KeyStanding OwnershipKeeper::standing(Key key, TimePoint now) const {
  const OwnedRange* range = writer_.table().find(key);
  const bool is_own = range != nullptr && range->owner == instance_;
  if (!hasServer() || (!is_own && tableIsRead())) {
    return KeyStanding::Elsewhere;
  }
  // Also while the range is being released, until the server has been told so.
  if (!must_confirm_ && lease_.valid(now) && grants_->held(key, now)) {
    return KeyStanding::Held;
  }
  if (!is_own) {
    return KeyStanding::Elsewhere;
  }
  return range->releasing ? KeyStanding::Moving : KeyStanding::Pending;
}

OwnerHint OwnershipKeeper::hintFor(Key key) const {
  const OwnedRange* range = writer_.table().find(key);
  // Who asked for an earlier life of this node's server is told the present one.
  const bool earlier_life = range != nullptr && range->node == self_.name && range->owner != instance_;
  if (range == nullptr || range->owner.empty() || earlier_life) {
    return {};
  }
  return {writer_.revision(), range->keys.first, range->keys.last, range->owner, range->node};
}

bool OwnershipKeeper::holdsNothing() const {
  const auto owned = writer_.table().ownedAt(self_.name);
  return owned.empty();
}

std::vector<OwnerPlace> OwnershipKeeper::targets(TimePoint now) const {
  std::vector<const NodeRecord*> ready = ports_.directory->ready(service_);
  std::erase_if(ready, [&](const NodeRecord* record) {
    return record->node == self_.name || !ports_.directory->isHeardOf(record->node);
  });
  // Servers at which requests fail are taken only where there are no others.
  const auto is_sound = [&](const NodeRecord* record) {
    return ports_.directory->failing(record->node, now) < config_.failing_share;
  };
  if (std::any_of(ready.begin(), ready.end(), is_sound)) {
    std::erase_if(ready, [&](const NodeRecord* record) { return !is_sound(record); });
  }
  struct Loaded {
    OwnerPlace place;
    double load;
  };
  std::vector<Loaded> loaded;
  for (const NodeRecord* record : ready) {
    const OwnerPlace place{record->instance, record->node};
    loaded.push_back({place, loadOf(place, now)});
  }
  std::stable_sort(loaded.begin(), loaded.end(),
                   [](const Loaded& left, const Loaded& right) { return left.load < right.load; });
  std::vector<OwnerPlace> places;
  places.reserve(loaded.size());
  for (const Loaded& entry : loaded) {
    places.push_back(entry.place);
  }
  return places;
}

std::size_t OwnershipKeeper::rank() const {
  const auto ready = ports_.directory->ready(service_);
  return static_cast<std::size_t>(
      std::count_if(ready.begin(), ready.end(), [&](const NodeRecord* record) { return record->node < self_.name; }));
}

void OwnershipKeeper::change(const std::string& what, TableWriter::Edit edit, std::function<void(bool)> done) {
  changing_ = true;
  writer_.change(std::move(edit), [this, what, done = std::move(done)](bool written) {
    changing_ = false;
    tell(what, written ? "written" : "no longer applies");
    if (done) {
      done(written);
    }
  });
}

void OwnershipKeeper::give(const std::string& what, const std::vector<OwnerPlace>& to, TableWriter::Edit edit,
                           std::function<void(bool)> done) {
  std::set<NodeName> gainers;
  for (const OwnerPlace& place : to) {
    if (place.node != self_.name) {
      gainers.insert(place.node);
    }
  }
  change(what, std::move(edit), [this, gainers, done = std::move(done)](bool written) {
    if (written && ports_.on_given) {
      ports_.on_given({ownerTableName(service_), writer_.revision(), writer_.table().encode()}, gainers);
    }
    if (done) {
      done(written);
    }
  });
}

void OwnershipKeeper::tick(TimePoint now) {
  if (last_tick_ != TimePoint{} && now - last_tick_ > config_.pause_limit) {
    takeover_.startAgain();
  }
  last_tick_ = now;
  if (writer_.awaitsRestore()) {
    // The turn hangs on who else is there.
    writer_.setRestoreTimes(restoreTimes());
  }
  writer_.tick(now);
  checkStart();
  request_rate_ = gains_.expectedRate(now);
  for (const OwnedRange& range : writer_.table().ownedBy(instance_)) {
    request_rate_ += meter_.rate(range.keys, now);
  }
  if (hasServer()) {
    lease_.tick(now);
  }
  if (!writer_.exists()) {
    divideFirst(now);
    return;
  }
  grants_->update(grantable(), lease_.validUntil(), now);
  if (!changing_) {
    settleLeftovers();
  }
  if (!changing_) {
    giveAwayDead(now);
  }
  watchOthers(now);
  if (!changing_ && moves_.empty() && hasServer() && lease_.valid(now)) {
    if (givesKeysAway() || serverLapsed(now)) {
      giveAll(targets(now), now);
    } else {
      balance(now);
    }
  }
}

TableWriter::RestoreTimes OwnershipKeeper::restoreTimes() const {
  const Duration hold = config_.grants == GrantForm::Heartbeat ? config_.heartbeat_hold : config_.grant_hold;
  const auto as_servers_count = std::chrono::duration_cast<Duration>(hold * config_.clock_drift);
  const Duration turn = config_.restore_step * static_cast<int>(rank());
  return {turn, as_servers_count + config_.lease_margin + turn};
}

void OwnershipKeeper::divideFirst(TimePoint now) {
  if (!writer_.known() || !hasServer() || givesKeysAway()) {
    return;
  }
  const Duration delay = config_.first_division_delay + config_.rank_delay * static_cast<int>(rank());
  if (now - server_since_ < delay) {
    return;
  }
  std::vector<OwnerPlace> places;
  for (const NodeRecord* record : ports_.directory->ready(service_)) {
    places.push_back({record->instance, record->node});
  }
  if (!places.empty()) {
    const auto each = config_.most_first_ranges / static_cast<std::uint32_t>(places.size());
    writer_.create(OwnerTable::divide(places, std::clamp(each, 1U, config_.first_ranges), ports_.store->epoch()));
  }
}

void OwnershipKeeper::settleLeftovers() {
  const OwnerPlace self{instance_, self_.name};
  if (must_confirm_) {
    const auto confirm = [self](OwnerTable& table) {
      bool changed = false;
      for (const OwnedRange& range : table.ownedBy(self.instance)) {
        changed = table.assign(range.keys, self, range.handover) || changed;
      }
      return changed;
    };
    change("ranges confirmed", confirm, [this](bool) { must_confirm_ = false; });
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
  change("ranges of an earlier life taken up", [self](OwnerTable& table) {
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

void OwnershipKeeper::giveAwayDead(TimePoint now) {
  if (dead_instance_.empty()) {
    return;
  }
  const std::vector<OwnerPlace> to = targets(now);
  const auto owned = writer_.table().ownedBy(dead_instance_);
  if (owned.empty()) {
    dead_instance_ = {};
    return;
  }
  if (to.empty()) {
    return;
  }
  std::vector<KeySpan> pieces;
  for (const OwnedRange& range : owned) {
    const auto runs = meter_.split(range.keys, to.size(), now);
    pieces.insert(pieces.end(), runs.begin(), runs.end());
  }
  give("dead server's ranges given away", to, [pieces, to, dead = dead_instance_](OwnerTable& table) {
    bool changed = false;
    for (std::size_t i = 0; i < pieces.size(); ++i) {
      const OwnedRange* range = table.find(pieces[i].first);
      if (range != nullptr && range->owner == dead && table.carve(pieces[i]) != nullptr) {
        changed = table.assign(pieces[i], to[i % to.size()], {}) || changed;
      }
    }
    return changed;
  });
}

void OwnershipKeeper::watchOthers(TimePoint now) {
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

void OwnershipKeeper::takeFrom(const NodeName& node) {
  const TimePoint now = ports_.clock->now();
  std::vector<OwnerPlace> to = targets(now);
  to.push_back({instance_, self_.name});
  std::erase_if(to, [&](const OwnerPlace& place) { return place.node == node; });
  // Only what the node owned when its lease was revoked: it may have confirmed its ranges since.
  const std::vector<OwnedRange> lost = writer_.table().ownedAt(node);
  give("ranges taken from " + node.value, to, [to, lost](OwnerTable& table) {
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

std::vector<OwnerPlace> OwnershipKeeper::sounderTargets(TimePoint now) const {
  if (failing_ < config_.failing_share) {
    return {};
  }
  std::vector<OwnerPlace> sounder = targets(now);
  std::erase_if(sounder, [&](const OwnerPlace& place) {
    return ports_.directory->failing(place.node, now) > failing_ - config_.failing_gap;
  });
  return sounder;
}

void OwnershipKeeper::giveAll(const std::vector<OwnerPlace>& to, TimePoint now) {
  if (to.empty()) {
    return;
  }
  std::vector<KeySpan> pieces;
  for (const OwnedRange& range : writer_.table().ownedBy(instance_)) {
    const auto runs = meter_.split(range.keys, to.size(), now);
    pieces.insert(pieces.end(), runs.begin(), runs.end());
  }
  if (!pieces.empty()) {
    moves_.start({instance_, self_.name}, pieces, to);
  }
}

void OwnershipKeeper::balance(TimePoint now) {
  if (now < next_balance_) {
    return;
  }
  next_balance_ = now + config_.balance_interval;
  if (const std::vector<OwnerPlace> sounder = sounderTargets(now); !sounder.empty()) {
    giveAll(sounder, now);
    return;
  }
  const std::vector<OwnedRange> owned = writer_.table().ownedBy(instance_);
  if (owned.size() > config_.most_ranges && writer_.table().hasNeighbours(instance_)) {
    joinRanges();
    return;
  }
  const std::vector<PlannedMove> moves = planner_.plan(balanceView(owned, now), now);
  if (moves.empty()) {
    return;
  }
  std::vector<KeySpan> pieces;
  std::vector<OwnerPlace> to;
  for (const PlannedMove& move : moves) {
    pieces.push_back(move.keys);
    to.push_back(move.to);
  }
  moves_.start({instance_, self_.name}, pieces, to);
}

BalanceView OwnershipKeeper::balanceView(const std::vector<OwnedRange>& owned, TimePoint now) const {
  constexpr double kHundredths = 100.0;
  constexpr double kMilliseconds = 1000.0;
  BalanceView view;
  view.owned = owned;
  // Where the work lies in ranges that came a moment ago is not known yet.
  std::erase_if(view.owned,
                [&](const OwnedRange& range) { return gains_.cameWithin(config_.gain_settle, range.keys, now); });
  view.own = work_;
  for (const OwnerPlace& place : targets(now)) {
    const ServerLoad* load = ports_.directory->load(place.node, now);
    const bool owns = !writer_.table().ownedBy(place.instance).empty();
    // A server that this node has sent nothing to of late is asked for little.
    OfferedWork work{0, work_.slots, work_.service_seconds};
    if (load != nullptr && load->slots > 0) {
      work.slots = load->slots;
      work.demand = owns ? load->demand_hundredths / kHundredths : 0.0;
      work.service_seconds = load->mean_service_ms / kMilliseconds;
    }
    view.targets.push_back({place, work});
  }
  return view;
}

std::uint32_t OwnershipKeeper::rateOf(const KeySpan& keys, TimePoint now) const {
  return static_cast<std::uint32_t>(std::lround(std::max(meter_.rate(keys, now), 0.0)));
}

double OwnershipKeeper::loadOf(const OwnerPlace& place, TimePoint now) const {
  // A server without keys is idle, whatever its last replies said.
  const bool owns = !writer_.table().ownedBy(place.instance).empty();
  return owns ? ports_.directory->occupancy(place.node, now) : 0.0;
}

void OwnershipKeeper::joinRanges() {
  change("neighbours joined", [owner = instance_](OwnerTable& table) { return table.joinNeighbours(owner); });
}

}  // namespace shedlever
