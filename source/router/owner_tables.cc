#include "source/router/owner_tables.h"

#include <algorithm>
#include <utility>

#include "source/core/router/ownership/owner_table_delta.h"

namespace shedlever {

namespace {

constexpr std::string_view kTablePrefix = "owners-";

/// Minimum interval of requests to peers for one service's owner table. Meanwhile rejections name the next owner of
/// single keys.
constexpr Duration kPeerRequestInterval = std::chrono::seconds(1);
/// Over an open stream; well above the network latency between two nodes, which is at most about 50 ms.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(500);

ServiceName serviceOf(const std::string& table_name) { return ServiceName(table_name.substr(kTablePrefix.size())); }

}  // namespace

OwnerTables::OwnerTables(ServiceName own_service, const OwnerTablesPorts& ports, OwnerTablesEvents events)
    : own_service_(std::move(own_service)),
      ports_(ports),
      events_(std::move(events)),
      poller_(*ports_.loop, *ports_.clock, *ports_.store, kTableKind, ListIntervals{}, pollerEvents()) {}

KindPoller::Events OwnerTables::pollerEvents() {
  return {[this](const MetadataObject& object) { onStoredTable(object); },
          [this] {
            read_ = true;
            listed_epoch_ = ports_.store->epoch();
            events_.on_listed();
          },
          [this](bool available) { ports_.log->write("owners", available ? "list-regained" : "list-lost", {}); },
          [this] { return need(); }};
}

bool OwnerTables::isTableName(const std::string& name) { return name.starts_with(kTablePrefix); }

void OwnerTables::onStoredTable(const MetadataObject& object) {
  const auto known = stored_.find(object.name);
  const bool is_older = known != stored_.end() && object.revision < known->second.revision;
  if (is_older || !isTableName(object.name)) {
    return;
  }
  stored_[object.name] = object;
  const ServiceName service = serviceOf(object.name);
  if (service == own_service_) {
    events_.on_own_table(object);
    return;
  }
  std::unique_ptr<TableWriter>& table = tables_[service];
  if (!table) {
    table = std::make_unique<TableWriter>(service, *ports_.store, [this] { events_.on_owners_changed(); });
  }
  table->onObject(object);
}

const MetadataObject* OwnerTables::ownTableObject() const {
  const auto found = stored_.find(ownerTableName(own_service_));
  return found == stored_.end() ? nullptr : &found->second;
}

const TableWriter* OwnerTables::tableOf(const ServiceName& service) const {
  if (service == own_service_) {
    return own_table_;
  }
  const auto found = tables_.find(service);
  return found == tables_.end() ? nullptr : found->second.get();
}

StoreRevision OwnerTables::revisionOf(const ServiceName& service) const {
  const TableWriter* table = tableOf(service);
  return table == nullptr ? StoreRevision() : table->revision();
}

KeyOwner OwnerTables::ownerOf(const ServiceName& service, Key key) {
  const TableWriter* table = tableOf(service);
  return table == nullptr ? KeyOwner{} : views_[service].find(key, table->table(), table->revision());
}

void OwnerTables::addHint(const ServiceName& service, const OwnerHint& hint) {
  views_[service].addHint(hint, revisionOf(service));
}

// When to read the store.

bool OwnerTables::hasMissingTables() const {
  const RouteTable* routes = events_.routes();
  if (routes == nullptr) {
    return false;
  }
  const auto& services = routes->config().services;
  return std::any_of(services.begin(), services.end(), [this](const auto& entry) {
    const auto& [name, service] = entry;
    return service.divided_by_key && !stored_.contains(ownerTableName(name)) &&
           !ports_.directory->availableServers(name).empty();
  });
}

bool OwnerTables::hasServiceWithoutReachableOwners() const {
  const auto is_unreachable = [this](const OwnedRange& range) {
    return !range.owner.empty() && ports_.directory->isUnreachable(range.node);
  };
  return std::any_of(tables_.begin(), tables_.end(), [&](const auto& entry) {
    const std::vector<OwnedRange>& ranges = entry.second->table().ranges();
    return !ranges.empty() && std::all_of(ranges.begin(), ranges.end(), is_unreachable);
  });
}

ListNeed OwnerTables::need() const {
  if (hasMissingTables() || hasServiceWithoutReachableOwners()) {
    return ListNeed::Missing;
  }
  const bool newer = std::any_of(requests_.begin(), requests_.end(), [this](const auto& entry) {
    return entry.second.unanswered_revision > revisionOf(entry.first);
  });
  const bool of_earlier_epoch = read_ && listed_epoch_ < ports_.store->epoch();
  return newer || of_earlier_epoch ? ListNeed::Newer : ListNeed::Nothing;
}

// Peers.

void OwnerTables::onTable(const ObjectCopy& table) {
  if (isTableName(table.name)) {
    events_.on_epoch_observed(table.revision.epoch);
    onStoredTable({table.name, table.revision, table.value});
    poller_.scheduleNextList();
  }
}

void OwnerTables::onDelta(const NodeName& node, const OwnerTableDeltaFrame& delta) {
  if (!isTableName(delta.name)) {
    return;
  }
  const ServiceName service = serviceOf(delta.name);
  const StoreRevision known = revisionOf(service);
  if (known >= delta.revision) {
    return;
  }
  const TableWriter* table = tableOf(service);
  if (const auto newer = applyDelta(table == nullptr ? OwnerTable() : table->table(), delta)) {
    onTable({delta.name, delta.revision, newer->encode()});
    return;
  }
  // If the delta was made for the known table, the digest did not show all differences.
  const bool digest_failed = known == delta.base;
  sendRequest(node, service, delta.revision, digest_failed ? OwnerTableRequestFrame{known} : requestFor(service));
}

void OwnerTables::onPeerRevision(const NodeName& node, const ServiceName& service, StoreRevision revision) {
  if (revision > revisionOf(service)) {
    requestNewer(node, service, revision);
  }
}

void OwnerTables::requestNewer(const NodeName& node, const ServiceName& service, StoreRevision revision) {
  const Request& request = requests_[service];
  const TimePoint now = ports_.clock->now();
  if (request.requested_at != TimePoint{} && now - request.requested_at < kPeerRequestInterval) {
    return;
  }
  sendRequest(node, service, revision, requestFor(service));
}

void OwnerTables::sendRequest(const NodeName& node, const ServiceName& service, StoreRevision expected,
                              const OwnerTableRequestFrame& request) {
  requests_[service].requested_at = ports_.clock->now();
  events_.request_owner_table(node, request);
  ports_.loop->runAfter(kReplyTimeout, [this, alive = alive_, service, expected] {
    if (*alive) {
      requests_[service].unanswered_revision = expected;
      poller_.scheduleNextList();
    }
  });
}

OwnerTableRequestFrame OwnerTables::requestFor(const ServiceName& service) const {
  const TableWriter* table = tableOf(service);
  return table == nullptr ? OwnerTableRequestFrame{}
                          : OwnerTableRequestFrame{table->revision(), digestOf(table->table())};
}

std::optional<RouterFrame> OwnerTables::answerRequest(const OwnerTableRequestFrame& request) const {
  if (own_table_ == nullptr || own_table_->revision() <= request.known) {
    return std::nullopt;
  }
  const std::string name = ownerTableName(own_service_);
  const OwnerTable& table = own_table_->table();
  if (request.digest.empty()) {
    return OwnerTableFrame{{name, own_table_->revision(), table.encode()}};
  }
  OwnerTableDeltaFrame delta = makeDelta(table, request.digest);
  delta.name = name;
  delta.base = request.known;
  delta.revision = own_table_->revision();
  return delta;
}

std::vector<ObjectCopy> OwnerTables::copies() const {
  std::vector<ObjectCopy> copies;
  copies.reserve(stored_.size());
  for (const auto& [name, object] : stored_) {
    copies.push_back({object.name, object.revision, object.value});
  }
  return copies;
}

}  // namespace shedlever
