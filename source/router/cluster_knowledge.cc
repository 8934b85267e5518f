#include "source/router/cluster_knowledge.h"

#include <algorithm>
#include <utility>

#include "source/core/router/duration_text.h"

namespace shedlever {

namespace {

constexpr std::string_view kTablePrefix = "owners-";
constexpr std::string_view kNodePrefix = "node-";

/// Between two answers of a watch that both brought changes: each costs a call of the few processes that watch.
constexpr Duration kConfigPause = std::chrono::milliseconds(100);
constexpr Duration kNodePause = std::chrono::milliseconds(400);
/// All machines of a deployment start within a second: a watch before that would be answered again and again, for each
/// of them, as nobody knows yet whom to follow.
constexpr Duration kFirstNodeWatch = std::chrono::milliseconds(800);
/// Time for a relay to tell the configuration to a process that has just started, two steps on the way.
constexpr Duration kFirstConfigWait = std::chrono::milliseconds(300);

/// How old the configuration may become before a process asks the store by itself. The source asks for all others; who
/// comes after it does so only when it hears nothing in time, each later than those that tell it. A change is to be in
/// force after 2 s also when a relay goes at the worst moment.
constexpr StalenessLimits kSourceConfig{std::chrono::milliseconds(500), std::chrono::milliseconds(500), 4};
constexpr StalenessLimits kZoneConfig{std::chrono::milliseconds(800), std::chrono::milliseconds(1000), 8};
constexpr StalenessLimits kFollowerConfig{std::chrono::milliseconds(1100), std::chrono::milliseconds(1600), 4};
/// As above, of the node records. New servers have some seconds before they must be used; of most other changes what a
/// node refuses tells before.
constexpr StalenessLimits kSourceNodes{std::chrono::milliseconds(1500), std::chrono::milliseconds(1500), 2};
constexpr StalenessLimits kZoneNodes{std::chrono::milliseconds(2200), std::chrono::milliseconds(2600), 4};
constexpr StalenessLimits kFollowerNodes{std::chrono::milliseconds(3000), std::chrono::milliseconds(4500), 2};

/// Between two questions for a service's owner table. Refusals tell the next owner of single keys meanwhile.
constexpr Duration kTableQuestionPause = std::chrono::seconds(1);
/// Time for the answer, over a stream that exists; the longest way on a deployment is some 50 ms.
constexpr Duration kTableAnswerLimit = std::chrono::milliseconds(500);
/// What two machines' clocks may differ by over the length of a lease, and some more.
constexpr Duration kLeaseClockMargin = std::chrono::milliseconds(500);

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
      config_watcher_(*ports_.loop, *ports_.clock, *ports_.random, *ports_.store,
                      {ports_.config->kind(), kConfigPause, kSourceConfig},
                      watcherEvents(
                          *ports_.log, "config",
                          [this](const MetadataObject& object, bool deleted) { onConfigObject(object, deleted); },
                          [this] {
                            config_listed_ = true;
                            adoptConfig();
                          })),
      node_watcher_(*ports_.loop, *ports_.clock, *ports_.random, *ports_.store,
                    {kNodeKind, kNodePause, kSourceNodes, kFirstNodeWatch},
                    watcherEvents(
                        *ports_.log, "membership",
                        [this](const MetadataObject& object, bool deleted) { onSharedObject(object, deleted); },
                        [this] { onListed(nodes_listed_); })),
      table_poller_(*ports_.loop, *ports_.clock, *ports_.store, kTableKind, ListTimes{}, pollerEvents()) {}

KindPoller::Events ClusterKnowledge::pollerEvents() {
  return {[this](const MetadataObject& object) { onSharedObject(object, false); },
          [this] {
            tables_read_ = true;
            onListed(tables_listed_);
          },
          [this](bool available) { ports_.log->write("owners", available ? "list-regained" : "list-lost", {}); },
          [this] { return tableNeed(); }};
}

void ClusterKnowledge::start() {
  config_watcher_.startAfter(kFirstConfigWait);
  node_watcher_.start();
  table_poller_.start();
}

// What is told from process to process.

void ClusterKnowledge::setRank(RelayRank rank) {
  const bool watches = rank == RelayRank::Source || rank == RelayRank::Alone;
  config_watcher_.setWatching(watches);
  node_watcher_.setWatching(watches);
  switch (rank) {
    case RelayRank::Source:
      config_watcher_.setStalenessLimits(kSourceConfig);
      node_watcher_.setStalenessLimits(kSourceNodes);
      return;
    case RelayRank::Zone:
      config_watcher_.setStalenessLimits(kZoneConfig);
      node_watcher_.setStalenessLimits(kZoneNodes);
      return;
    case RelayRank::Follower:
    case RelayRank::Alone:
      config_watcher_.setStalenessLimits(kFollowerConfig);
      node_watcher_.setStalenessLimits(kFollowerNodes);
      return;
  }
}

void ClusterKnowledge::readConfigNow() {
  if (!config_watcher_.listed()) {
    config_watcher_.start();
  }
}

void ClusterKnowledge::addNewsAfter(const NewsPosition& position, NewsFrame& frame) const {
  frame.config = config_watcher_.newsAfter(position.config);
  frame.nodes = node_watcher_.newsAfter(position.nodes);
}

void ClusterKnowledge::onNews(const NewsFrame& news, std::optional<TimePoint> told_at) {
  node_watcher_.onNews(news.nodes, told_at);
  config_watcher_.onNews(news.config, told_at);
}

// Configuration.

void ClusterKnowledge::onConfigObject(const MetadataObject& object, bool deleted) {
  if (!ports_.config->isPart(object.name)) {
    return;
  }
  const auto known = config_parts_.find(object.name);
  if (known != config_parts_.end() && object.revision <= known->second.revision) {
    return;
  }
  if (deleted) {
    config_parts_.erase(object.name);
  } else {
    config_parts_[object.name] = object;
  }
  if (config_listed_) {
    adoptConfig();
  }
}

void ClusterKnowledge::adoptConfig() {
  std::map<std::string, StoreRevision> revisions;
  for (const auto& [name, object] : config_parts_) {
    revisions[name] = object.revision;
  }
  if (revisions.empty() || revisions == tried_revisions_) {
    return;
  }
  tried_revisions_ = std::move(revisions);
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(config, ports_.config->decode(config_parts_));
        adopt(std::move(config));
        return {};
      },
      [&](const Findings& findings) {
        ports_.log->write("config", "not-understood",
                          {{"revision", std::to_string(config_watcher_.seen())}, {"findings", toString(findings)}});
      },
      [] {});
}

void ClusterKnowledge::adopt(RouterConfig config) {
  routes_ = std::make_shared<const RouteTable>(std::move(config));
  ports_.log->write("config", "adopted",
                    {{"version", std::to_string(routes_->version())},
                     {"revision", std::to_string(config_watcher_.seen())},
                     {"routes", std::to_string(routes_->config().routes.size())}});
  events_.on_config();
  table_poller_.plan();
}

// Nodes and owners.

void ClusterKnowledge::onSharedObject(const MetadataObject& object, bool deleted) {
  const auto known = shared_objects_.find(object.name);
  if (known != shared_objects_.end() && object.revision < known->second.revision) {
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
  if (!record) {
    return;
  }
  ports_.log->write("membership", deleted ? "node-removed" : "node-changed",
                    {{"node", record->node.value},
                     {"incarnation", std::to_string(record->incarnation.value)},
                     {"instance", record->instance.empty() ? "-" : record->instance.value},
                     {"slots", std::to_string(record->slots)},
                     {"draining", record->draining ? "1" : "0"},
                     {"revision", std::to_string(object.revision)}});
  if (deleted) {
    ports_.directory->remove(record->node);
  } else if (record->node != self_) {
    ports_.directory->update(*record);
  }
  events_.on_nodes();
  table_poller_.plan();
}

bool ClusterKnowledge::isMissingTables() const {
  if (!routes_) {
    return false;
  }
  const auto& services = routes_->config().services;
  return std::any_of(services.begin(), services.end(), [this](const auto& entry) {
    const auto& [name, service] = entry;
    const bool known = tableRevision(name) != 0 || shared_objects_.contains(ownerTableName(name));
    return service.divided_by_key && !known && !ports_.directory->ready(name).empty();
  });
}

ListNeed ClusterKnowledge::tableNeed() const {
  if (isMissingTables()) {
    return ListNeed::Missing;
  }
  const bool newer = std::any_of(table_questions_.begin(), table_questions_.end(), [this](const auto& entry) {
    return entry.second.not_told > tableRevision(entry.first);
  });
  return newer ? ListNeed::Newer : ListNeed::Nothing;
}

StoreRevision ClusterKnowledge::tableRevision(const ServiceName& service) const {
  const TableWriter* table = tableOf(service);
  return table == nullptr ? 0 : table->revision();
}

TableQuestionFrame ClusterKnowledge::tableQuestion(const ServiceName& service) const {
  const TableWriter* table = tableOf(service);
  return table == nullptr ? TableQuestionFrame{} : TableQuestionFrame{table->revision(), table->table().lastToken()};
}

void ClusterKnowledge::onTableObject(const MetadataObject& object) {
  const ServiceName service(object.name.substr(kTablePrefix.size()));
  if (service == own_service_) {
    events_.on_own_table(object);
    return;
  }
  otherTable(service).onObject(object);
}

TableWriter& ClusterKnowledge::otherTable(const ServiceName& service) {
  std::unique_ptr<TableWriter>& table = tables_[service];
  if (!table) {
    table = std::make_unique<TableWriter>(service, *ports_.store, [this] { events_.on_owners(); });
  }
  return *table;
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
  views_[service].addHint(hint, table == nullptr ? 0 : table->revision());
}

void ClusterKnowledge::onTableRows(const NodeName& from, const TableRows& rows) {
  const bool taken = rows.service == own_service_ ? events_.on_own_rows(rows) : otherTable(rows.service).onRows(rows);
  if (!taken) {
    events_.ask_table(from, tableQuestion(rows.service));
    return;
  }
  table_poller_.plan();
}

void ClusterKnowledge::tick() {
  const std::size_t processes = ports_.directory->nodes().size();
  config_watcher_.tick(processes);
  node_watcher_.tick(processes);
}

// Other processes.

void ClusterKnowledge::onSeenElsewhere(const NodeName& node, const ServiceName& service,
                                       const KnownRevisions& revisions) {
  config_watcher_.onTold(revisions.config);
  node_watcher_.onTold(revisions.nodes);
  if (revisions.own_table > tableRevision(service)) {
    onNewerTable(node, service, revisions.own_table);
  }
}

void ClusterKnowledge::onNewerTable(const NodeName& node, const ServiceName& service, StoreRevision revision) {
  TableQuestion& question = table_questions_[service];
  const TimePoint now = ports_.clock->now();
  if (question.asked_at != TimePoint{} && now - question.asked_at < kTableQuestionPause) {
    return;
  }
  question.asked_at = now;
  events_.ask_table(node, tableQuestion(service));
  ports_.loop->runAfter(kTableAnswerLimit, [this, alive = alive_, service, asked = revision] {
    if (*alive) {
      table_questions_[service].not_told = asked;
      table_poller_.plan();
    }
  });
}

KnownRevisions ClusterKnowledge::seen() const {
  return {config_watcher_.news(), node_watcher_.news(), tableRevision(own_service_), 0, 0};
}

std::optional<TableRows> ClusterKnowledge::answerTo(const TableQuestionFrame& question) const {
  if (own_table_ == nullptr || own_table_->revision() <= question.known) {
    return std::nullopt;
  }
  return own_table_->rowsAfter(question.last_token);
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
  for (const auto& [name, object] : config_parts_) {
    state.config.push_back({object.name, object.revision, object.value});
  }
  for (const auto& [name, object] : shared_objects_) {
    state.shared.push_back({object.name, object.revision, object.value});
  }
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
    onSharedObject({copy.name, copy.revision, copy.value}, false);
  }
  if (!routes_) {
    for (const ObjectCopy& copy : state.config) {
      onConfigObject({copy.name, copy.revision, copy.value}, false);
    }
    config_listed_ = true;
    adoptConfig();
  }
  nodes_listed_ = true;
  onListed(tables_listed_);
}

}  // namespace shedlever
