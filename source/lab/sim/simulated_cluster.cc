#include "source/lab/sim/simulated_cluster.h"

#include <algorithm>
#include <utility>

#include "source/lab/sim/simulated_cluster_node.h"

namespace shedlever::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kTableDelay = milliseconds(30);
constexpr std::uint32_t kSlots = 10;
constexpr double kServiceSeconds = 0.1;
const ServiceName kService("search");

NodeName nodeName(std::size_t index) { return NodeName("node-" + std::to_string(index)); }

ZoneName zoneOf(std::size_t index) { return ZoneName("zone-" + std::to_string(index)); }

}  // namespace

SimulatedCluster::SimulatedCluster(std::size_t nodes, std::uint64_t seed, const OwnershipConfig& config)
    : random_(seed), config_(config) {
  for (std::size_t i = 0; i < nodes; ++i) {
    nodes_.push_back(std::make_unique<Node>());
    nodes_.back()->index = i;
  }
  startAll();
}

void SimulatedCluster::killAll() {
  holds_records_ = true;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    killNode(i);
    killServer(i);
  }
  holds_records_ = false;
  propagateRecords();
}

void SimulatedCluster::startAll() {
  holds_records_ = true;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    startServer(i);
    restartNode(i);
  }
  holds_records_ = false;
  propagateRecords();
}

SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::startProcess(Node& node) {
  ++node.process_generation;
  node.paused = false;
  node.waiting_messages.clear();
  if (node.virtual_store) {
    *node.virtual_store->alive = false;
  }
  node.manager.reset();
  node.virtual_store = std::make_unique<VirtualMetadataStore>(time_, store_, random_);
  node.store = std::make_unique<RestorableStore>(*node.virtual_store,
                                                 RestorableStore::Events{[](StoreEpoch, StoreEpoch) {}, [] {}});
  node.virtual_store->faults = node.store_faults;
  node.commands = std::make_unique<ServerCommandChannel>(*this, node);
  node.directory =
      std::make_unique<ServerDirectory>(nodeName(node.index), zoneOf(node.index), ServerChoiceConfig{}, random_);
  OwnershipPorts ports;
  ports.store = node.store.get();
  ports.server_commands = node.commands.get();
  ports.clock = &time_;
  ports.directory = node.directory.get();
  ports.on_change = [] {};
  ports.on_keys_transferred = [this, &node](const OwnerTableDeltaFrame& delta, const std::set<NodeName>&) {
    onKeysTransferred(node, delta);
  };
  addEditPorts(node, ports);
  ports.on_event = [this](const OwnershipEvent& event) { ++table_changes_[event.detail]; };
  ports.on_owner_change = [this](const OwnerChange& change) { owner_changes_.push_back(change); };
  ports.table_read = [&node] { return node.table_read; };
  ports.on_server_gone = [this, &node, process_generation = node.process_generation] {
    time_.after(Duration::zero(), [this, &node, process_generation] {
      if (node.process_generation == process_generation) {
        onConnectionRefused(node);
      }
    });
  };
  const NodeIdentity self{nodeName(node.index), Incarnation{++last_incarnation_}};
  node.record.node = self.name;
  node.record.incarnation = self.incarnation;
  node.record.zone = zoneOf(node.index);
  node.record.service = kService;
  node.record.slots = 10;
  node.record.wire_version = kRequestPartsWireVersion;
  node.manager = std::make_unique<OwnershipManager>(self, kService, config_, std::move(ports));
  HeartbeatResponder::Ports responder;
  responder.clock = &time_;
  responder.assign = [&node](const KeyReport& report, TimePoint received) {
    return node.manager->assign(report, received);
  };
  responder.would_change = [&node](const KeyReport& report) { return node.manager->wouldChange(report); };
  responder.on_acknowledged = [&node] { node.manager->onAcknowledged(); };
  node.responder = std::make_unique<HeartbeatResponder>(config_.heartbeat_wait, std::move(responder));
  node.latest_sequences.clear();
  node.table_read = false;
  applyEvacuations(node);
  if (!node.peer_table.revision.none()) {
    node.manager->onTableObject(node.peer_table);
  }
  readTable(node);
  if (const auto server = node.reportingServer()) {
    node.manager->serverUp(server->instance, InstanceEnd::Suspected, time_.now());
    node.record.instance = server->instance;
  }
  propagateRecords();
  time_.after(kTickInterval, [this, index = node.index, process_generation = node.process_generation] {
    tickNode(index, process_generation);
  });
}

void SimulatedCluster::onKeysTransferred(const Node& writer, const OwnerTableDeltaFrame& delta) {
  for (const auto& node : nodes_) {
    if (node->manager && node->manager->tableWriter().revision() == delta.base) {
      ++checked_transfers_;
      checks_.onTransfer(node->manager->tableWriter().table(), delta, writer.manager->tableWriter().table());
    }
  }
}

void SimulatedCluster::readTable(Node& node) {
  node.store->list(kTableKind, ListFreshness::Latest,
                   [this, &node, process_generation = node.process_generation](const StoreListing& listing) {
                     if (node.process_generation != process_generation) {
                       return;
                     }
                     if (!listing.available) {
                       time_.after(kCommandTimeout, [this, &node, process_generation] {
                         if (node.process_generation == process_generation) {
                           readTable(node);
                         }
                       });
                       return;
                     }
                     node.table_read = true;
                     if (listing.objects.empty()) {
                       node.manager->onTableAbsent();
                     } else {
                       node.manager->onTableObject(listing.objects.front());
                     }
                   });
}

bool SimulatedCluster::happens(double probability) {
  constexpr std::uint64_t kSteps = 10000;
  return probability > 0 && static_cast<double>(random_.below(kSteps)) < probability * kSteps;
}

void SimulatedCluster::tickNode(std::size_t index, std::uint64_t process_generation) {
  Node& node = *nodes_[index];
  if (node.process_generation != process_generation || !node.manager) {
    return;
  }
  if (!node.paused) {
    node.virtual_store->faults = node.store_faults;
    // The service time is chosen so that the measured request rate results in this demand.
    const double rate = node.manager->requestRate();
    const double demand = rate > 0 ? node.occupancy * kSlots : 0.0;
    node.manager->setOfferedLoad({demand, kSlots, rate > 0 ? demand / rate : kServiceSeconds});
    node.manager->setFailureRatio(node.failure_ratio);
    node.manager->tick(time_.now());
    node.responder->respondIfDue();
    propagateTable();
    reportLease(node);
  }
  time_.after(kTickInterval, [this, index, process_generation] { tickNode(index, process_generation); });
}

/// Every running process learns every record at once and treats stopped and paused nodes as unreachable.
void SimulatedCluster::propagateRecords() {
  if (holds_records_) {
    return;
  }
  for (const auto& to : nodes_) {
    if (!to->manager) {
      continue;
    }
    for (const auto& from : nodes_) {
      if (from->record.node.empty()) {
        continue;
      }
      to->directory->update(from->record);
      if ((!from->manager || from->paused) && to->knows_records_only) {
        continue;
      }
      if (!from->manager || from->paused) {
        to->directory->markUnreachable(from->record.node);
      } else {
        to->directory->onReachable(from->record.node);
      }
    }
  }
}

void SimulatedCluster::propagateTable() {
  const StoreAnswer table = store_.get(kTableKind, ownerTableName(kService));
  if (table.status != StoreStatus::Done || table.object.revision == propagated_revision_) {
    return;
  }
  propagated_revision_ = table.object.revision;
  time_.after(kTableDelay, [this, object = table.object] {
    for (const auto& node : nodes_) {
      node->peer_table = object;
      if (node->manager && !node->paused && !node->store_faults.down) {
        node->store->observePeerEpoch(object.revision.epoch);
        node->manager->onTableObject(object);
      }
    }
  });
}

void SimulatedCluster::reportLease(const Node& from) {
  const TimePoint until = from.manager->reportedLeaseUntil();
  if (until == TimePoint{}) {
    return;
  }
  for (const auto& to : nodes_) {
    if (to->index != from.index && to->manager && !to->paused) {
      to->manager->onPeerLease(from.record.node, {from.manager->leaseRevision(), until, until});
    }
  }
}

void SimulatedCluster::run(Duration span) {
  time_.runFor(span, [this] { checks_.check(running(), time_.now()); });
}

void SimulatedCluster::killNode(std::size_t node) {
  ++nodes_[node]->process_generation;
  *nodes_[node]->virtual_store->alive = false;
  if (nodes_[node]->manager) {
    nodes_[node]->lease_until = nodes_[node]->manager->reportedLeaseUntil();
  }
  nodes_[node]->manager.reset();
  propagateRecords();
  const bool all_dead =
      std::none_of(nodes_.begin(), nodes_.end(), [](const auto& other) { return other->manager != nullptr; });
  if (all_dead) {
    // No peer is left that could send the table to a process that starts.
    for (const auto& other : nodes_) {
      other->peer_table = {};
    }
  }
}

void SimulatedCluster::restartNode(std::size_t node) { startProcess(*nodes_[node]); }

void SimulatedCluster::restartNodeWithLease(std::size_t node) {
  const TimePoint until = nodes_[node]->lease_until;
  startProcess(*nodes_[node]);
  nodes_[node]->manager->inheritLease(until);
}

void SimulatedCluster::restartNodeWithPeerTable(std::size_t node, const MetadataObject& table) {
  nodes_[node]->peer_table = table;
  restartNodeWithLease(node);
}

void SimulatedCluster::restartNodeWithRecordsOnly(std::size_t node) {
  nodes_[node]->knows_records_only = true;
  startProcess(*nodes_[node]);
}

MetadataObject SimulatedCluster::table() const { return store_.get(kTableKind, ownerTableName(kService)).object; }

LeaseRecord SimulatedCluster::lease(std::size_t node) const {
  return LeaseRecord::decode(store_.get(kLeaseKind, nodeName(node).value).object.value);
}

void SimulatedCluster::pauseNode(std::size_t node) {
  nodes_[node]->paused = true;
  propagateRecords();
}

void SimulatedCluster::resumeNode(std::size_t node) {
  nodes_[node]->paused = false;
  for (const auto& message : std::exchange(nodes_[node]->waiting_messages, {})) {
    time_.after(Duration::zero(), message);
  }
  propagateRecords();
  const StoreAnswer table = store_.get(kTableKind, ownerTableName(kService));
  if (nodes_[node]->manager && table.status == StoreStatus::Done) {
    time_.after(kTableDelay, [this, node, object = table.object] {
      if (nodes_[node]->manager) {
        nodes_[node]->manager->onTableObject(object);
      }
    });
  }
}

void SimulatedCluster::setEvacuated(std::size_t node, bool evacuated) {
  if (evacuated) {
    evacuated_.insert(zoneOf(node));
  } else {
    evacuated_.erase(zoneOf(node));
  }
  for (const auto& target : nodes_) {
    applyEvacuations(*target);
  }
}

void SimulatedCluster::applyEvacuations(Node& node) {
  if (node.manager) {
    node.directory->setEvacuated(evacuated_);
    node.manager->setEvacuated(evacuated_.contains(zoneOf(node.index)));
  }
}

void SimulatedCluster::silenceServer(std::size_t node, bool silent) { nodes_[node]->server_faults.silent = silent; }

void SimulatedCluster::setStoreFaults(std::size_t node, const StoreFaults& faults) {
  nodes_[node]->store_faults = faults;
}

void SimulatedCluster::setServerFaults(std::size_t node, const ServerFaults& faults) {
  nodes_[node]->server_faults = faults;
}

void SimulatedCluster::interleaveRanges(std::size_t first, std::size_t second, std::size_t ranges) {
  // Grants that are under way would be applied after the servers have dropped their keys.
  run(2 * kLoopbackDelay);
  const StoreAnswer answer = store_.get(kTableKind, ownerTableName(kService));
  OwnerTable table =
      leaf::try_handle_all([&] { return OwnerTable::decode(answer.object.value); }, [] { return OwnerTable(); });
  const auto size = static_cast<std::uint32_t>(kKeyCount / 2 / ranges);
  for (std::uint32_t i = 0; i < ranges; ++i) {
    const Node& to = *nodes_[i % 2 == 0 ? first : second];
    const KeyRange keys{static_cast<Key>(i * size), static_cast<Key>((i + 1) * size - 1)};
    if (table.find(keys.first)->owner != to.server->instance && table.splitOff(keys) != nullptr) {
      table.assign(keys, {to.server->instance, to.record.node}, {});
    }
  }
  MetadataObject object = answer.object;
  object.value = table.encode();
  for (const auto& node : nodes_) {
    node->server->dropAllKeys();
  }
  store_.replace(kTableKind, object);
  // No process may grant by the table before, which this write did not go through.
  propagateTable();
}

void SimulatedCluster::setOccupancy(std::size_t node, double occupancy) {
  nodes_[node]->occupancy = occupancy;
  reportLoad(node);
}

void SimulatedCluster::setFailureRatio(std::size_t node, double failure_ratio) {
  nodes_[node]->failure_ratio = failure_ratio;
  reportLoad(node);
}

void SimulatedCluster::reportLoad(std::size_t node) {
  constexpr double kPermille = 1000.0;
  constexpr double kHundredths = 100.0;
  ForwardReplyFrame reply;
  reply.load.running = static_cast<std::uint32_t>(nodes_[node]->occupancy * kSlots);
  reply.load.slots = kSlots;
  reply.load.demand_hundredths = static_cast<std::uint32_t>(nodes_[node]->occupancy * kSlots * kHundredths);
  reply.load.failed_permille = static_cast<std::uint32_t>(nodes_[node]->failure_ratio * kPermille);
  for (const auto& other : nodes_) {
    if (other->manager) {
      other->directory->onReply(nodeName(node), "r", reply, time_.now());
    }
  }
}

void SimulatedCluster::addKeyRequests(std::size_t node, Key key, int requests) {
  for (int i = 0; i < requests; ++i) {
    nodes_[node]->manager->onKeyRequest(key, time_.now());
  }
}

void SimulatedCluster::addRequestsOnSampledKeys(std::size_t node, int requests) {
  for (std::size_t i = 0; i < kSampleCount; ++i) {
    addKeyRequests(node, OwnershipChecks::sampleKey(i), requests);
  }
}

bool SimulatedCluster::serves(const Node& node, Key key) const {
  return node.manager && !node.paused && node.manager->keyState(key, time_.now()) == KeyState::Held && node.server &&
         node.server->holds(key);
}

std::size_t SimulatedCluster::servedBy(std::size_t node) const {
  std::size_t served = 0;
  for (std::size_t i = 0; i < kSampleCount; ++i) {
    served += serves(*nodes_[node], OwnershipChecks::sampleKey(i)) ? 1 : 0;
  }
  return served;
}

OwnerHint SimulatedCluster::hint(std::size_t node, Key key) const { return nodes_[node]->manager->hintFor(key); }

std::vector<std::optional<std::size_t>> SimulatedCluster::servingNodes() const {
  std::vector<std::optional<std::size_t>> serving(kSampleCount);
  for (std::size_t i = 0; i < kSampleCount; ++i) {
    for (std::size_t node = 0; node < nodes_.size() && !serving[i]; ++node) {
      if (serves(*nodes_[node], OwnershipChecks::sampleKey(i))) {
        serving[i] = node;
      }
    }
  }
  return serving;
}

std::size_t SimulatedCluster::servedKeys() const {
  std::size_t served = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    served += servedBy(i);
  }
  return served;
}

void SimulatedCluster::checkAcquisition(const SimulatedServer& server, Key first, Key last, FenceToken token) {
  checks_.onAcquired(server, first, last, token);
}

OwnershipChecks::Servers SimulatedCluster::running() const {
  OwnershipChecks::Servers servers;
  for (const auto& node : nodes_) {
    for (const auto& server : node->running_servers) {
      servers.push_back(server.get());
    }
  }
  return servers;
}

}  // namespace shedlever::sim
