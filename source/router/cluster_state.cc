#include "source/router/cluster_state.h"

#include <algorithm>
#include <utility>

#include "source/core/router/duration_format.h"

namespace shedlever {

namespace {

constexpr std::string_view kNodePrefix = "node-";

/// Pause between watch responses that follow each other closely; each response costs every node a call.
constexpr Duration kNodeWatchPause = std::chrono::milliseconds(800);
constexpr Duration kConfigWatchPause = std::chrono::milliseconds(800);
/// After the startup period the pause grows with the number of nodes, so that all nodes together call the store 25
/// times per second. Until then rejections by a node report changes of its server.
constexpr Duration kNodeWatchPausePerNode = std::chrono::milliseconds(40);
/// New servers need not be used for some seconds, and most other changes are reported earlier by a node's rejections.
constexpr StalenessLimits kNodeStaleness{std::chrono::milliseconds(2000), std::chrono::milliseconds(4000), 2};
/// An evacuation is known within 2.5 s, half of the 5 s in which it has to be carried out; the rest is for moving keys.
/// All processes together make two checks per second.
constexpr StalenessLimits kEvacuationStaleness{std::chrono::milliseconds(1200), std::chrono::milliseconds(2500), 2};
/// Short, since evacuations rarely change in close succession.
constexpr Duration kEvacuationWatchPause = std::chrono::milliseconds(200);
/// Time after a restore of the store in which operators write lost evacuations again; until then the known ones are
/// kept.
constexpr Duration kRestoreGracePeriod = std::chrono::seconds(10);
/// Covers the start of all nodes and the first reports of their servers.
constexpr Duration kStartupPeriod = std::chrono::seconds(6);
/// Minimum interval of requests to peers for the configuration.
constexpr Duration kConfigRequestInterval = std::chrono::seconds(1);
/// Upper bound of the drift of two nodes' clocks during a lease.
constexpr Duration kLeaseClockMargin = std::chrono::milliseconds(500);

/// @return whether an object from another store epoch is the record of an earlier incarnation of a node's process than
///   the known record.
bool isFromEarlierIncarnation(const MetadataObject& object, const MetadataObject& known) {
  if (object.revision.epoch == known.revision.epoch) {
    return false;
  }
  const auto record = decodeNodeRecord(object.value);
  const auto known_record = decodeNodeRecord(known.value);
  return record && known_record && record->incarnation < known_record->incarnation;
}

KindWatcher::Events watcherEvents(EventLog& log, const char* part,
                                  std::function<void(const MetadataObject&, bool)> on_object,
                                  std::function<void()> on_listed) {
  return {std::move(on_object), std::move(on_listed),
          [&log, part](bool available) { log.write(part, available ? "watch-regained" : "watch-lost", {}); },
          [&log, part](ListCause cause, Duration staleness) {
            log.write(part, "relist", {{"cause", toString(cause)}, {"stale_ms", formatMilliseconds(staleness)}});
          },
          [&log, part](Duration staleness) {
            log.write(part, "watch-missed-events", {{"stale_ms", formatMilliseconds(staleness)}});
          }};
}

}  // namespace

ClusterState::ClusterState(NodeName self, const ServiceName& own_service, const ClusterStatePorts& ports,
                           ClusterStateEvents events)
    : self_(std::move(self)),
      ports_(ports),
      events_(std::move(events)),
      config_(*ports_.config, configEvents()),
      config_watcher_(
          *ports_.loop, *ports_.clock, *ports_.random, *ports_.store,
          {ports_.config->kind(), kConfigWatchPause, stalenessLimitsFor(ports_.config_time_limit)},
          watcherEvents(
              *ports_.log, "config",
              [this](const MetadataObject& object, bool deleted) { config_.onPartChanged(object, deleted); },
              [this] { config_.onListComplete(); })),
      node_watcher_(*ports_.loop, *ports_.clock, *ports_.random, *ports_.store,
                    {kNodeKind, kNodeWatchPause, kNodeStaleness},
                    watcherEvents(
                        *ports_.log, "membership",
                        [this](const MetadataObject& object, bool deleted) { onNodeObject(object, deleted); },
                        [this] { onNodesListed(); })),
      owners_(own_service, {ports_.loop, ports_.clock, ports_.store, ports_.directory, ports_.log}, ownerEvents()),
      started_(ports_.clock->now()) {
  createEvacuationWatcher();
}

OwnerTablesEvents ClusterState::ownerEvents() {
  OwnerTablesEvents events;
  events.routes = [this] { return routes().get(); };
  events.on_owners_changed = [this] { events_.on_owners_changed(); };
  events.on_own_table = [this](const MetadataObject& table) { events_.on_own_table(table); };
  events.on_listed = [this] { onListed(tables_listed_); };
  events.on_epoch_observed = [this](StoreEpoch epoch) { events_.on_epoch_observed(epoch); };
  events.request_owner_table = [this](const NodeName& node, const OwnerTableRequestFrame& request) {
    events_.request_owner_table(node, request);
  };
  return events;
}

void ClusterState::createEvacuationWatcher() {
  const std::string kind = ports_.config->evacuationKind();
  if (!ports_.evacuation_enabled || kind.empty()) {
    return;
  }
  KindWatcher::Events events = watcherEvents(
      *ports_.log, "evacuation",
      [this](const MetadataObject& object, bool deleted) {
        evacuations_.onObject(object, deleted);
        if (evacuations_.isComplete()) {
          onEvacuationsChanged();
        }
      },
      [this] {
        evacuations_.endList();
        onEvacuationsChanged();
        if (synced()) {
          events_.on_synced();
        }
      });
  events.on_list_start = [this] {
    const StoreEpoch epoch = ports_.store->epoch();
    evacuations_.beginList(epoch);
    ports_.loop->runAfter(kRestoreGracePeriod, [this, alive = alive_, epoch] {
      if (*alive && evacuations_.dropEpochsBefore(epoch)) {
        onEvacuationsChanged();
      }
    });
  };
  evacuation_watcher_ = std::make_unique<KindWatcher>(
      *ports_.loop, *ports_.clock, *ports_.random, *ports_.store,
      KindWatcher::Options{kind, kEvacuationWatchPause, kEvacuationStaleness}, std::move(events));
}

void ClusterState::onEvacuationsChanged() {
  ports_.directory->setEvacuated(evacuations_.zones());
  events_.on_evacuations_changed();
}

void ClusterState::start() {
  if (evacuation_watcher_) {
    evacuation_watcher_->start();
  }
  config_watcher_.start();
  node_watcher_.start();
  owners_.start();
}

void ClusterState::onStoreRestored() {
  config_watcher_.onStoreRestored();
  node_watcher_.onStoreRestored();
  if (evacuation_watcher_) {
    evacuation_watcher_->onStoreRestored();
  }
  owners_.scheduleNextList();
}

// Configuration.

ActiveConfig::Events ClusterState::configEvents() {
  ActiveConfig::Events events;
  events.on_adopted = [this] { onConfigAdopted(); };
  events.on_values_ignored = [this](const Findings& findings) {
    ports_.log->write("config", "values-ignored",
                      {{"version", std::to_string(routes()->version())}, {"findings", toString(findings)}});
    events_.on_config_values_ignored(findings.list.size());
  };
  events.on_invalid = [this](const Findings& findings) {
    ports_.log->write("config", "not-understood",
                      {{"revision", toString(config_watcher_.seen())}, {"findings", toString(findings)}});
  };
  events.on_stale_part = [this](const MetadataObject& part, const StoreRevision& known) {
    ports_.log->write("config", "ignored-older",
                      {{"part", part.name}, {"revision", toString(part.revision)}, {"known", toString(known)}});
  };
  events.on_lower_version = [this](ConfigVersion version) {
    ports_.log->write("config", "lower-version-ignored",
                      {{"version", std::to_string(version)},
                       {"in_force", std::to_string(routes()->version())},
                       {"revision", toString(config_watcher_.seen())}});
  };
  return events;
}

void ClusterState::onConfigAdopted() {
  ports_.log->write("config", "adopted",
                    {{"version", std::to_string(routes()->version())},
                     {"revision", toString(config_watcher_.seen())},
                     {"routes", std::to_string(routes()->config().routes.size())}});
  events_.on_config_adopted();
  owners_.scheduleNextList();
}

void ClusterState::onPeerConfig(const ConfigFrame& config) { config_.onPeerConfig(config.parts); }

std::optional<ConfigFrame> ClusterState::configNewerThan(ConfigVersion known) const {
  if (config_.comparableVersion() <= known) {
    return std::nullopt;
  }
  return ConfigFrame{config_.copies()};
}

void ClusterState::onPeerConfigVersion(const NodeName& node, const KnownRevisions& revisions) {
  // A newer object in the store will arrive by the watch.
  const bool store_has_newer = revisions.config.revision > config_watcher_.seen();
  const TimePoint now = ports_.clock->now();
  if (store_has_newer || revisions.config_version <= config_.comparableVersion() || now < next_config_request_at_) {
    return;
  }
  next_config_request_at_ = now + kConfigRequestInterval;
  events_.request_config(node, config_.comparableVersion());
}

// Nodes.

void ClusterState::onSharedObject(const MetadataObject& object) {
  if (object.name.starts_with(kNodePrefix)) {
    onNodeObject(object, false);
  } else {
    owners_.onStoredTable(object);
  }
}

void ClusterState::onNodeObject(const MetadataObject& object, bool deleted) {
  const auto known = stored_nodes_.find(object.name);
  if (known != stored_nodes_.end() &&
      (object.revision < known->second.revision || isFromEarlierIncarnation(object, known->second))) {
    return;
  }
  if (deleted) {
    stored_nodes_.erase(object.name);
  } else {
    stored_nodes_[object.name] = object;
  }
  const auto record = decodeNodeRecord(object.value);
  if (!record || nodeRecordName(record->node) != object.name) {
    events_.on_unreadable(object.name);
    return;
  }
  ports_.log->write("membership", deleted ? "node-removed" : "node-changed",
                    {{"node", record->node.value},
                     {"incarnation", std::to_string(record->incarnation.value)},
                     {"instance", record->instance.empty() ? "-" : record->instance.value},
                     {"slots", std::to_string(record->slots)},
                     {"draining", record->draining ? "1" : "0"},
                     {"revision", toString(object.revision)}});
  if (!deleted) {
    events_.on_record(*record, record->node == self_);
  }
  if (deleted) {
    ports_.directory->remove(record->node);
  } else if (record->node != self_) {
    ports_.directory->update(*record);
  }
  events_.on_nodes_changed();
  updateNodeWatchPause();
  owners_.scheduleNextList();
}

void ClusterState::updateNodeWatchPause() {
  if (ports_.clock->now() - started_ >= kStartupPeriod) {
    const auto nodes = static_cast<int>(ports_.directory->nodes().size());
    node_watcher_.setBurstPause(std::max(kNodeWatchPause, kNodeWatchPausePerNode * nodes));
  }
}

void ClusterState::onNodesListed() {
  const StoreEpoch previous = std::exchange(nodes_listed_epoch_, ports_.store->epoch());
  onListed(nodes_listed_);
  if (previous == 0 || previous == nodes_listed_epoch_) {
    return;
  }
  const auto own = stored_nodes_.find(nodeRecordName(self_));
  const bool in_backup = own != stored_nodes_.end() && own->second.revision.epoch == nodes_listed_epoch_;
  const auto record = in_backup ? decodeNodeRecord(own->second.value) : std::nullopt;
  events_.on_node_records_restored(record ? &*record : nullptr);
}

void ClusterState::onListed(bool& listed) {
  listed = true;
  if (synced()) {
    events_.on_synced();
  }
}

void ClusterState::tick() {
  const std::size_t process_count = ports_.directory->nodes().size();
  config_watcher_.tick(process_count);
  node_watcher_.tick(process_count);
  if (evacuation_watcher_) {
    evacuation_watcher_->tick(process_count);
  }
}

// Peers.

void ClusterState::onPeerRevisions(const NodeName& node, const ServiceName& service, const KnownRevisions& revisions) {
  events_.on_epoch_observed(std::max(revisions.config.synced_revision.epoch, revisions.nodes.synced_revision.epoch));
  config_watcher_.onPeerFreshness(revisions.config);
  onPeerConfigVersion(node, revisions);
  node_watcher_.onPeerFreshness(revisions.nodes);
  if (evacuation_watcher_) {
    evacuation_watcher_->onPeerFreshness(revisions.evacuations);
  }
  owners_.onPeerRevision(node, service, revisions.own_table);
}

KnownRevisions ClusterState::knownRevisions() const {
  const KindFreshness evacuations = evacuation_watcher_ ? evacuation_watcher_->freshness() : KindFreshness{};
  return {config_watcher_.freshness(), node_watcher_.freshness(), owners_.ownRevision(), 0, {}, evacuations,
          config_.comparableVersion()};
}

void ClusterState::noteLease(const NodeName& node, TimePoint until) {
  TimePoint& end = lease_ends_[node];
  end = std::max(end, until);
}

std::optional<ClusterSnapshotFrame> ClusterState::snapshotFor(const NodeName& node) const {
  if (!complete()) {
    return std::nullopt;
  }
  ClusterSnapshotFrame snapshot;
  snapshot.config = config_.copies();
  for (const auto& [name, object] : stored_nodes_) {
    snapshot.shared.push_back({object.name, object.revision, object.value});
  }
  for (ObjectCopy& table : owners_.copies()) {
    snapshot.shared.push_back(std::move(table));
  }
  snapshot.evacuations = evacuations_.copies();
  const auto lease = lease_ends_.find(node);
  const TimePoint now = ports_.clock->now();
  if (lease != lease_ends_.end() && lease->second - now > kLeaseClockMargin) {
    snapshot.lease_left_us = (lease->second - now - kLeaseClockMargin).count();
  }
  ports_.log->write("membership", "snapshot-sent",
                    {{"node", node.value}, {"objects", std::to_string(snapshot.shared.size())}});
  return snapshot;
}

void ClusterState::applySnapshot(const ClusterSnapshotFrame& snapshot) {
  ports_.log->write("membership", "snapshot-received",
                    {{"config_parts", std::to_string(snapshot.config.size())},
                     {"objects", std::to_string(snapshot.shared.size())},
                     {"lease_left_us", std::to_string(snapshot.lease_left_us)}});
  for (const ObjectCopy& copy : snapshot.shared) {
    events_.on_epoch_observed(copy.revision.epoch);
    onSharedObject({copy.name, copy.revision, copy.value});
  }
  config_.onPeerConfig(snapshot.config);
  nodes_listed_ = true;
  if (!evacuationsKnown()) {
    evacuations_.adoptPeerCopies(snapshot.evacuations);
    onEvacuationsChanged();
  }
  onListed(tables_listed_);
}

}  // namespace shedlever
