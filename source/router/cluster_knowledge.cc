#include "source/router/cluster_knowledge.h"

#include <algorithm>
#include <utility>

#include "source/core/router/duration_text.h"

namespace shedlever {

namespace {

constexpr std::string_view kTablePrefix = "owners-";
constexpr std::string_view kNodePrefix = "node-";

/// Between two answers of a watch that both brought changes: each costs every node a call.
constexpr Duration kNodePause = std::chrono::milliseconds(800);
constexpr Duration kConfigPause = std::chrono::milliseconds(800);
/// Once a process knows the nodes that started with it: for each node, so that all together look 25 times a second.
/// What is not known yet of a server is told by the refusals of its node.
constexpr Duration kNodePauseEach = std::chrono::milliseconds(40);
/// New servers have some seconds before they must be used; of most other changes what a node refuses tells before.
constexpr StalenessLimits kNodeStaleness{std::chrono::milliseconds(2000), std::chrono::milliseconds(4000), 2};
/// A wish that a zone gets nothing is known within 2.5 s, which leaves half of the 5 s that it is given to moving keys.
/// Two questions a second serve all processes together.
constexpr StalenessLimits kEvacuationStaleness{std::chrono::milliseconds(1200), std::chrono::milliseconds(2500), 2};
/// Zones are rarely evacuated: no two changes are close to each other.
constexpr Duration kEvacuationPause = std::chrono::milliseconds(200);
/// After the store has come back from a copy operators have written again what it lacks, and so much more.
constexpr Duration kWrittenAgain = std::chrono::seconds(10);
/// All machines start within a second; their servers report within two more.
constexpr Duration kStartTime = std::chrono::seconds(6);
/// Between two questions to other processes, for a service's owner table or for the configuration. Refusals tell the
/// next owner of single keys meanwhile.
constexpr Duration kQuestionPause = std::chrono::seconds(1);
/// Time for the answer, over a stream that exists; the longest way on a deployment is some 50 ms.
constexpr Duration kTableAnswerLimit = std::chrono::milliseconds(500);
/// What two machines' clocks may differ by over the length of a lease, and some more.
constexpr Duration kLeaseClockMargin = std::chrono::milliseconds(500);

/// @return whether an object that the store's copy holds is the record of an earlier life of a node's process than the
///   one that is known.
bool isOfEarlierLife(const MetadataObject& object, const MetadataObject& known) {
  if (object.revision.era == known.revision.era || !object.name.starts_with(kNodePrefix)) {
    return false;
  }
  const auto told = decodeNodeRecord(object.value);
  const auto before = decodeNodeRecord(known.value);
  return told && before && told->incarnation < before->incarnation;
}

KindWatcher::Events watcherEvents(EventLog& log, const char* part,
                                  std::function<void(const MetadataObject&, bool)> on_object,
                                  std::function<void()> on_listed) {
  return {std::move(on_object), std::move(on_listed),
          [&log, part](bool available) { log.write(part, available ? "watch-regained" : "watch-lost", {}); },
          [&log, part](ListCause cause, Duration staleness) {
            log.write(part, "list-anew", {{"cause", toString(cause)}, {"stale_ms", millisecondsText(staleness)}});
          },
          [&log, part](Duration staleness) {
            log.write(part, "missed-by-watch", {{"stale_ms", millisecondsText(staleness)}});
          }};
}

}  // namespace

ClusterKnowledge::ClusterKnowledge(NodeName self, ServiceName own_service, const KnowledgePorts& ports,
                                   KnowledgeEvents events)
    : self_(std::move(self)),
      own_service_(std::move(own_service)),
      ports_(ports),
      events_(std::move(events)),
      config_(*ports_.config, configEvents()),
      config_watcher_(
          *ports_.loop, *ports_.clock, *ports_.random, *ports_.store,
          {ports_.config->kind(), kConfigPause, StalenessLimits{}},
          watcherEvents(
              *ports_.log, "config",
              [this](const MetadataObject& object, bool deleted) { config_.onPartChanged(object, deleted); },
              [this] { config_.onListComplete(); })),
      node_watcher_(*ports_.loop, *ports_.clock, *ports_.random, *ports_.store, {kNodeKind, kNodePause, kNodeStaleness},
                    watcherEvents(
                        *ports_.log, "membership",
                        [this](const MetadataObject& object, bool deleted) { onSharedObject(object, deleted); },
                        [this] { onNodesListed(); })),
      table_poller_(*ports_.loop, *ports_.clock, *ports_.store, kTableKind, ListTimes{}, pollerEvents()),
      started_(ports_.clock->now()) {
  followEvacuations();
}

KindPoller::Events ClusterKnowledge::pollerEvents() {
  return {[this](const MetadataObject& object) { onSharedObject(object, false); },
          [this] {
            tables_read_ = true;
            tables_era_ = ports_.store->era();
            onListed(tables_listed_);
          },
          [this](bool available) { ports_.log->write("owners", available ? "list-regained" : "list-lost", {}); },
          [this] { return tableNeed(); }};
}

void ClusterKnowledge::followEvacuations() {
  const std::string kind = ports_.config->evacuationKind();
  if (!ports_.zones_are_evacuated || kind.empty()) {
    return;
  }
  KindWatcher::Events events = watcherEvents(
      *ports_.log, "evacuation",
      [this](const MetadataObject& object, bool deleted) {
        evacuations_.onObject(object, deleted);
        if (evacuations_.isComplete()) {
          onEvacuations();
        }
      },
      [this] {
        evacuations_.endList();
        onEvacuations();
        if (listed()) {
          events_.on_complete_list();
        }
      });
  events.on_list_begins = [this] {
    const StoreEra era = ports_.store->era();
    evacuations_.beginList(era);
    ports_.loop->runAfter(kWrittenAgain, [this, alive = alive_, era] {
      if (*alive && evacuations_.dropEpochsBefore(era)) {
        onEvacuations();
      }
    });
  };
  evacuation_watcher_ = std::make_unique<KindWatcher>(
      *ports_.loop, *ports_.clock, *ports_.random, *ports_.store,
      KindWatcher::Options{kind, kEvacuationPause, kEvacuationStaleness}, std::move(events));
}

void ClusterKnowledge::onEvacuations() {
  ports_.directory->setEvacuated(evacuations_.zones());
  events_.on_evacuations();
}

void ClusterKnowledge::start() {
  if (evacuation_watcher_) {
    evacuation_watcher_->start();
  }
  config_watcher_.start();
  node_watcher_.start();
  table_poller_.start();
}

void ClusterKnowledge::onStoreRestored() {
  config_watcher_.onStoreRestored();
  node_watcher_.onStoreRestored();
  if (evacuation_watcher_) {
    evacuation_watcher_->onStoreRestored();
  }
  table_poller_.plan();
}

// Configuration.

ActiveConfig::Events ClusterKnowledge::configEvents() {
  ActiveConfig::Events events;
  events.on_adopted = [this] { onConfigAdopted(); };
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

void ClusterKnowledge::onConfigAdopted() {
  ports_.log->write("config", "adopted",
                    {{"version", std::to_string(routes()->version())},
                     {"revision", toString(config_watcher_.seen())},
                     {"routes", std::to_string(routes()->config().routes.size())}});
  events_.on_config();
  table_poller_.plan();
}

void ClusterKnowledge::onConfigTold(const ConfigFrame& told) { config_.onPeerConfig(told.parts); }

std::optional<ConfigFrame> ClusterKnowledge::configNewerThan(ConfigVersion known) const {
  if (config_.comparableVersion() <= known) {
    return std::nullopt;
  }
  return ConfigFrame{config_.copies()};
}

void ClusterKnowledge::onVersionElsewhere(const NodeName& node, const KnownRevisions& revisions) {
  // While the store has something newer than this process has read, it will be told by the store.
  const bool told_by_store = revisions.config.revision > config_watcher_.seen();
  const TimePoint now = ports_.clock->now();
  if (told_by_store || revisions.config_version <= config_.comparableVersion() || now < next_config_question_) {
    return;
  }
  next_config_question_ = now + kQuestionPause;
  events_.ask_config(node, config_.comparableVersion());
}

// Nodes and owners.

void ClusterKnowledge::onSharedObject(const MetadataObject& object, bool deleted) {
  const auto known = shared_objects_.find(object.name);
  if (known != shared_objects_.end() &&
      (object.revision < known->second.revision || isOfEarlierLife(object, known->second))) {
    return;
  }
  if (deleted) {
    shared_objects_.erase(object.name);
  } else {
    shared_objects_[object.name] = object;
  }
  if (object.name.starts_with(kNodePrefix)) {
    onNodeObject(object, deleted);
  } else if (object.name.starts_with(kTablePrefix) && !deleted) {
    onTableObject(object);
  }
}

void ClusterKnowledge::onNodeObject(const MetadataObject& object, bool deleted) {
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
  events_.on_nodes();
  paceNodeWatch();
  table_poller_.plan();
}

void ClusterKnowledge::paceNodeWatch() {
  if (ports_.clock->now() - started_ >= kStartTime) {
    const auto nodes = static_cast<int>(ports_.directory->nodes().size());
    node_watcher_.setPause(std::max(kNodePause, kNodePauseEach * nodes));
  }
}

void ClusterKnowledge::onNodesListed() {
  const StoreEra before = std::exchange(nodes_era_, ports_.store->era());
  onListed(nodes_listed_);
  if (before == 0 || before == nodes_era_) {
    return;
  }
  const auto own = shared_objects_.find(nodeRecordName(self_));
  const bool in_copy = own != shared_objects_.end() && own->second.revision.era == nodes_era_;
  const auto record = in_copy ? decodeNodeRecord(own->second.value) : std::nullopt;
  events_.on_restored_records(record ? &*record : nullptr);
}

bool ClusterKnowledge::isMissingTables() const {
  if (!routes()) {
    return false;
  }
  const auto& services = routes()->config().services;
  return std::any_of(services.begin(), services.end(), [this](const auto& entry) {
    const auto& [name, service] = entry;
    return service.divided_by_key && !shared_objects_.contains(ownerTableName(name)) &&
           !ports_.directory->availableServers(name).empty();
  });
}

bool ClusterKnowledge::lacksReachableOwners() const {
  const auto is_lost = [this](const OwnedRange& range) {
    return !range.owner.empty() && ports_.directory->isUnreachable(range.node);
  };
  return std::any_of(tables_.begin(), tables_.end(), [&](const auto& entry) {
    const std::vector<OwnedRange>& ranges = entry.second->table().ranges();
    return !ranges.empty() && std::all_of(ranges.begin(), ranges.end(), is_lost);
  });
}

ListNeed ClusterKnowledge::tableNeed() const {
  if (isMissingTables() || lacksReachableOwners()) {
    return ListNeed::Missing;
  }
  const bool newer = std::any_of(table_questions_.begin(), table_questions_.end(), [this](const auto& entry) {
    return entry.second.not_told > tableRevision(entry.first);
  });
  const bool of_an_earlier_era = tables_read_ && tables_era_ < ports_.store->era();
  return newer || of_an_earlier_era ? ListNeed::Newer : ListNeed::Nothing;
}

StoreRevision ClusterKnowledge::tableRevision(const ServiceName& service) const {
  const TableWriter* table = tableOf(service);
  return table == nullptr ? StoreRevision() : table->revision();
}

void ClusterKnowledge::onTableObject(const MetadataObject& object) {
  const ServiceName service(object.name.substr(kTablePrefix.size()));
  if (service == own_service_) {
    events_.on_own_table(object);
    return;
  }
  std::unique_ptr<TableWriter>& table = tables_[service];
  if (!table) {
    table = std::make_unique<TableWriter>(service, *ports_.store, [this] { events_.on_owners(); });
  }
  table->onObject(object);
}

void ClusterKnowledge::onListed(bool& list) {
  list = true;
  if (listed()) {
    events_.on_complete_list();
  }
}

const MetadataObject* ClusterKnowledge::ownTableObject() const {
  const auto found = shared_objects_.find(ownerTableName(own_service_));
  return found == shared_objects_.end() ? nullptr : &found->second;
}

const TableWriter* ClusterKnowledge::tableOf(const ServiceName& service) const {
  if (service == own_service_) {
    return own_table_;
  }
  const auto found = tables_.find(service);
  return found == tables_.end() ? nullptr : found->second.get();
}

KeyOwner ClusterKnowledge::ownerOf(const ServiceName& service, Key key) {
  const TableWriter* table = tableOf(service);
  return table == nullptr ? KeyOwner{} : views_[service].find(key, table->table(), table->revision());
}

void ClusterKnowledge::onHint(const ServiceName& service, const OwnerHint& hint) {
  const TableWriter* table = tableOf(service);
  views_[service].addHint(hint, table == nullptr ? StoreRevision() : table->revision());
}

void ClusterKnowledge::onTable(const ObjectCopy& table) {
  if (table.name.starts_with(kTablePrefix)) {
    events_.on_era(table.revision.era);
    onSharedObject({table.name, table.revision, table.value}, false);
    table_poller_.plan();
  }
}

void ClusterKnowledge::tick() {
  const std::size_t processes = ports_.directory->nodes().size();
  config_watcher_.tick(processes);
  node_watcher_.tick(processes);
  if (evacuation_watcher_) {
    evacuation_watcher_->tick(processes);
  }
}

// Other processes.

void ClusterKnowledge::onSeenElsewhere(const NodeName& node, const ServiceName& service,
                                       const KnownRevisions& revisions) {
  events_.on_era(std::max(revisions.config.at.era, revisions.nodes.at.era));
  config_watcher_.onTold(revisions.config);
  onVersionElsewhere(node, revisions);
  node_watcher_.onTold(revisions.nodes);
  if (evacuation_watcher_) {
    evacuation_watcher_->onTold(revisions.evacuations);
  }
  if (revisions.own_table > tableRevision(service)) {
    onNewerTable(node, service, revisions.own_table);
  }
}

void ClusterKnowledge::onNewerTable(const NodeName& node, const ServiceName& service, StoreRevision revision) {
  TableQuestion& question = table_questions_[service];
  const TimePoint now = ports_.clock->now();
  if (question.asked_at != TimePoint{} && now - question.asked_at < kQuestionPause) {
    return;
  }
  question.asked_at = now;
  events_.ask_table(node, tableRevision(service));
  ports_.loop->runAfter(kTableAnswerLimit, [this, alive = alive_, service, asked = revision] {
    if (*alive) {
      table_questions_[service].not_told = asked;
      table_poller_.plan();
    }
  });
}

KnownRevisions ClusterKnowledge::seen() const {
  const KindNews evacuations = evacuation_watcher_ ? evacuation_watcher_->news() : KindNews{};
  return {config_watcher_.news(),     node_watcher_.news(), tableRevision(own_service_), 0, {}, evacuations,
          config_.comparableVersion()};
}

std::optional<ObjectCopy> ClusterKnowledge::ownTableNewerThan(StoreRevision known) const {
  if (own_table_ == nullptr || own_table_->revision() <= known) {
    return std::nullopt;
  }
  return ObjectCopy{ownerTableName(own_service_), own_table_->revision(), own_table_->table().encode()};
}

void ClusterKnowledge::noteLease(const NodeName& node, TimePoint until) {
  TimePoint& end = lease_ends_[node];
  end = std::max(end, until);
}

std::optional<StateFrame> ClusterKnowledge::stateFor(const NodeName& node) const {
  if (!complete()) {
    return std::nullopt;
  }
  StateFrame state;
  state.config = config_.copies();
  for (const auto& [name, object] : shared_objects_) {
    state.shared.push_back({object.name, object.revision, object.value});
  }
  state.evacuations = evacuations_.copies();
  const auto lease = lease_ends_.find(node);
  const TimePoint now = ports_.clock->now();
  if (lease != lease_ends_.end() && lease->second - now > kLeaseClockMargin) {
    state.lease_left_us = (lease->second - now - kLeaseClockMargin).count();
  }
  ports_.log->write("membership", "state-told",
                    {{"node", node.value}, {"objects", std::to_string(state.shared.size())}});
  return state;
}

void ClusterKnowledge::take(const StateFrame& state) {
  ports_.log->write("membership", "state-heard",
                    {{"config_parts", std::to_string(state.config.size())},
                     {"objects", std::to_string(state.shared.size())},
                     {"lease_left_us", std::to_string(state.lease_left_us)}});
  for (const ObjectCopy& copy : state.shared) {
    events_.on_era(copy.revision.era);
    onSharedObject({copy.name, copy.revision, copy.value}, false);
  }
  config_.onPeerConfig(state.config);
  nodes_listed_ = true;
  if (!evacuationsKnown()) {
    evacuations_.adoptPeerCopies(state.evacuations);
    onEvacuations();
  }
  onListed(tables_listed_);
}

}  // namespace shedlever
