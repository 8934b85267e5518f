#include "source/lab/sim/ownership_world.h"

#include <algorithm>
#include <utility>

#include "source/lab/sim/ownership_world_node.h"

namespace shedlever::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(50);
constexpr Duration kTableDelay = milliseconds(30);
constexpr std::uint32_t kSlots = 10;
constexpr double kServiceSeconds = 0.1;
const ServiceName kService("search");

NodeName nodeName(std::size_t index) { return NodeName("node-" + std::to_string(index)); }

ZoneName zoneOf(std::size_t index) { return ZoneName("zone-" + std::to_string(index)); }

}  // namespace

OwnershipWorld::OwnershipWorld(std::size_t nodes, std::uint64_t seed, const OwnershipConfig& config)
    : random_(seed), config_(config) {
  for (std::size_t i = 0; i < nodes; ++i) {
    nodes_.push_back(std::make_unique<Node>());
    nodes_.back()->index = i;
  }
  for (std::size_t i = 0; i < nodes; ++i) {
    startServer(i);
    restartNode(i);
  }
}

OwnershipWorld::~OwnershipWorld() = default;

void OwnershipWorld::startProcess(Node& node) {
  ++node.life;
  node.paused = false;
  if (node.way_to_store) {
    *node.way_to_store->alive = false;
  }
  node.keeper.reset();
  node.way_to_store = std::make_unique<VirtualMetadataStore>(time_, store_, random_);
  node.store = std::make_unique<RestorableStore>(*node.way_to_store,
                                                 RestorableStore::Events{[](StoreEpoch, StoreEpoch) {}, [] {}});
  node.way_to_store->faults = node.store_faults;
  node.orders = std::make_unique<Orders>(*this, node);
  node.directory =
      std::make_unique<ServerDirectory>(nodeName(node.index), zoneOf(node.index), ServerChoiceConfig{}, random_);
  OwnershipPorts ports;
  ports.store = node.store.get();
  ports.server_commands = node.orders.get();
  ports.clock = &time_;
  ports.directory = node.directory.get();
  ports.on_change = [] {};
  ports.table_read = [&node] { return node.table_read; };
  ports.on_server_gone = [this, &node, life = node.life] {
    time_.after(Duration::zero(), [this, &node, life] {
      if (node.life == life && !node.server && node.keeper) {
        node.keeper->serverDead();
        node.record.instance = {};
        spreadRecords();
      }
    });
  };
  const NodeIdentity self{nodeName(node.index), Incarnation{++last_incarnation_}};
  node.record.node = self.name;
  node.record.incarnation = self.incarnation;
  node.record.zone = zoneOf(node.index);
  node.record.service = kService;
  node.record.slots = 10;
  node.keeper = std::make_unique<OwnershipManager>(self, kService, config_, std::move(ports));
  HeartbeatResponder::Ports responder;
  responder.clock = &time_;
  responder.assign = [&node](const KeyReport& report, TimePoint received) {
    return node.keeper->assign(report, received);
  };
  responder.would_change = [&node](const KeyReport& report) { return node.keeper->wouldChange(report); };
  responder.on_acknowledged = [&node] { node.keeper->onAcknowledged(); };
  node.responder = std::make_unique<HeartbeatResponder>(config_.heartbeat_wait, std::move(responder));
  node.sequences.clear();
  node.table_read = false;
  tellEvacuations(node);
  if (!node.told_table.revision.none()) {
    node.keeper->onTableObject(node.told_table);
  }
  readTable(node);
  if (node.server) {
    node.keeper->serverUp(node.server->instance, time_.now());
    node.record.instance = node.server->instance;
  }
  spreadRecords();
  time_.after(kTick, [this, index = node.index, life = node.life] { tickNode(index, life); });
}

void OwnershipWorld::readTable(Node& node) {
  node.store->list(kTableKind, ListFreshness::Latest, [this, &node, life = node.life](const StoreListing& listing) {
    if (node.life != life) {
      return;
    }
    if (!listing.available) {
      time_.after(kOrderTimeout, [this, &node, life] {
        if (node.life == life) {
          readTable(node);
        }
      });
      return;
    }
    node.table_read = true;
    if (listing.objects.empty()) {
      node.keeper->onTableAbsent();
    } else {
      node.keeper->onTableObject(listing.objects.front());
    }
  });
}

bool OwnershipWorld::happens(double chance) {
  constexpr std::uint64_t kSteps = 10000;
  return chance > 0 && static_cast<double>(random_.below(kSteps)) < chance * kSteps;
}

void OwnershipWorld::tickNode(std::size_t index, std::uint64_t life) {
  Node& node = *nodes_[index];
  if (node.life != life || !node.keeper) {
    return;
  }
  if (!node.paused) {
    node.way_to_store->faults = node.store_faults;
    // As long a service time as makes the requests seen ask for that many slots.
    const double rate = node.keeper->requestRate();
    const double demand = rate > 0 ? node.occupancy * kSlots : 0.0;
    node.keeper->setOfferedLoad({demand, kSlots, rate > 0 ? demand / rate : kServiceSeconds});
    node.keeper->setFailureRatio(node.failing);
    node.keeper->tick(time_.now());
    node.responder->respondIfDue();
    spreadTable();
    tellLease(node);
  }
  time_.after(kTick, [this, index, life] { tickNode(index, life); });
}

/// Every live node learns every record at once; that of a dead or paused one can't be reached.
void OwnershipWorld::spreadRecords() {
  for (const auto& to : nodes_) {
    if (!to->keeper) {
      continue;
    }
    for (const auto& from : nodes_) {
      if (from->record.node.empty()) {
        continue;
      }
      to->directory->update(from->record);
      if ((!from->keeper || from->paused) && to->knows_records_alone) {
        continue;
      }
      if (!from->keeper || from->paused) {
        to->directory->markUnreachable(from->record.node);
      } else {
        to->directory->onReachable(from->record.node);
      }
    }
  }
}

void OwnershipWorld::spreadTable() {
  const StoreAnswer table = store_.get(kTableKind, ownerTableName(kService));
  if (table.status != StoreStatus::Done || table.object.revision == spread_) {
    return;
  }
  spread_ = table.object.revision;
  time_.after(kTableDelay, [this, object = table.object] {
    for (const auto& node : nodes_) {
      node->told_table = object;
      if (node->keeper && !node->paused && !node->store_faults.down) {
        node->store->observePeerEpoch(object.revision.epoch);
        node->keeper->onTableObject(object);
      }
    }
  });
}

void OwnershipWorld::tellLease(const Node& from) {
  const TimePoint until = from.keeper->leaseUntil();
  for (const auto& to : nodes_) {
    if (to->index != from.index && to->keeper && !to->paused) {
      to->keeper->onPeerLease(from.record.node, {from.keeper->leaseRevision(), until, until});
    }
  }
}

void OwnershipWorld::run(Duration span) {
  time_.runFor(span, [this] { checks_.check(running(), time_.now()); });
}

void OwnershipWorld::killNode(std::size_t node) {
  ++nodes_[node]->life;
  *nodes_[node]->way_to_store->alive = false;
  if (nodes_[node]->keeper) {
    nodes_[node]->lease_until = nodes_[node]->keeper->leaseUntil();
  }
  nodes_[node]->keeper.reset();
  spreadRecords();
  const bool all_dead =
      std::none_of(nodes_.begin(), nodes_.end(), [](const auto& other) { return other->keeper != nullptr; });
  if (all_dead) {
    // Nobody is left who could tell a process that starts.
    for (const auto& other : nodes_) {
      other->told_table = {};
    }
  }
}

void OwnershipWorld::restartNode(std::size_t node) { startProcess(*nodes_[node]); }

void OwnershipWorld::restartNodeWithLease(std::size_t node) {
  const TimePoint until = nodes_[node]->lease_until;
  startProcess(*nodes_[node]);
  nodes_[node]->keeper->inheritLease(until);
}

void OwnershipWorld::restartNodeTold(std::size_t node, const MetadataObject& table) {
  nodes_[node]->told_table = table;
  restartNodeWithLease(node);
}

void OwnershipWorld::restartNodeWithRecordsAlone(std::size_t node) {
  nodes_[node]->knows_records_alone = true;
  startProcess(*nodes_[node]);
}

MetadataObject OwnershipWorld::table() const { return store_.get(kTableKind, ownerTableName(kService)).object; }

void OwnershipWorld::pauseNode(std::size_t node) {
  nodes_[node]->paused = true;
  spreadRecords();
}

void OwnershipWorld::resumeNode(std::size_t node) {
  nodes_[node]->paused = false;
  spreadRecords();
  const StoreAnswer table = store_.get(kTableKind, ownerTableName(kService));
  if (nodes_[node]->keeper && table.status == StoreStatus::Done) {
    time_.after(kTableDelay, [this, node, object = table.object] {
      if (nodes_[node]->keeper) {
        nodes_[node]->keeper->onTableObject(object);
      }
    });
  }
}

void OwnershipWorld::killServer(std::size_t node) { nodes_[node]->server.reset(); }

void OwnershipWorld::startServer(std::size_t node) {
  Node& place = *nodes_[node];
  place.server = std::make_shared<SimulatedServer>(time_, InstanceId("i-" + std::to_string(++last_instance_)));
  place.record.instance = place.server->instance;
  place.record.draining = false;
  if (place.keeper) {
    place.keeper->serverUp(place.server->instance, time_.now());
    spreadRecords();
  }
  place.last_sequence = 0;
  if (config_.grant_delivery == GrantDelivery::Heartbeat) {
    beat(place);
  }
}

void OwnershipWorld::drainServer(std::size_t node) {
  nodes_[node]->record.draining = true;
  if (nodes_[node]->keeper) {
    nodes_[node]->keeper->startDraining();
  }
  spreadRecords();
}

void OwnershipWorld::evacuate(std::size_t node, bool evacuated) {
  if (evacuated) {
    evacuated_.insert(zoneOf(node));
  } else {
    evacuated_.erase(zoneOf(node));
  }
  for (const auto& told : nodes_) {
    tellEvacuations(*told);
  }
}

void OwnershipWorld::tellEvacuations(Node& node) {
  if (node.keeper) {
    node.directory->setEvacuated(evacuated_);
    node.keeper->setEvacuated(evacuated_.contains(zoneOf(node.index)));
  }
}

void OwnershipWorld::silenceServer(std::size_t node, bool silent) { nodes_[node]->order_faults.silent = silent; }

void OwnershipWorld::setStoreFaults(std::size_t node, const StoreFaults& faults) {
  nodes_[node]->store_faults = faults;
}

void OwnershipWorld::setOrderFaults(std::size_t node, const OrderFaults& faults) {
  nodes_[node]->order_faults = faults;
}

void OwnershipWorld::scatterRanges(std::size_t first, std::size_t second, std::size_t ranges) {
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
    node->server->forgetAll();
  }
  store_.replace(kTableKind, object);
}

void OwnershipWorld::setOccupancy(std::size_t node, double occupancy) {
  nodes_[node]->occupancy = occupancy;
  tellLoad(node);
}

void OwnershipWorld::setFailing(std::size_t node, double share) {
  nodes_[node]->failing = share;
  tellLoad(node);
}

void OwnershipWorld::tellLoad(std::size_t node) {
  constexpr double kPermille = 1000.0;
  constexpr double kHundredths = 100.0;
  ForwardReplyFrame reply;
  reply.load.running = static_cast<std::uint32_t>(nodes_[node]->occupancy * kSlots);
  reply.load.slots = kSlots;
  reply.load.demand_hundredths = static_cast<std::uint32_t>(nodes_[node]->occupancy * kSlots * kHundredths);
  reply.load.failed_permille = static_cast<std::uint32_t>(nodes_[node]->failing * kPermille);
  for (const auto& other : nodes_) {
    if (other->keeper) {
      other->directory->onReply(nodeName(node), "r", reply, time_.now());
    }
  }
}

void OwnershipWorld::addKeyWork(std::size_t node, Key key, int requests) {
  for (int i = 0; i < requests; ++i) {
    nodes_[node]->keeper->onKeyRequest(key, time_.now());
  }
}

void OwnershipWorld::addWorkOnAllKeys(std::size_t node, int requests) {
  for (std::size_t i = 0; i < kSamples; ++i) {
    addKeyWork(node, OwnershipChecks::sampleKey(i), requests);
  }
}

bool OwnershipWorld::serves(const Node& node, Key key) const {
  return node.keeper && !node.paused && node.keeper->keyState(key, time_.now()) == KeyState::Held && node.server &&
         node.server->holds(key);
}

std::size_t OwnershipWorld::servedBy(std::size_t node) const {
  std::size_t served = 0;
  for (std::size_t i = 0; i < kSamples; ++i) {
    served += serves(*nodes_[node], OwnershipChecks::sampleKey(i)) ? 1 : 0;
  }
  return served;
}

OwnerHint OwnershipWorld::hint(std::size_t node, Key key) const { return nodes_[node]->keeper->hintFor(key); }

std::vector<std::optional<std::size_t>> OwnershipWorld::servingNodes() const {
  std::vector<std::optional<std::size_t>> serving(kSamples);
  for (std::size_t i = 0; i < kSamples; ++i) {
    for (std::size_t node = 0; node < nodes_.size() && !serving[i]; ++node) {
      if (serves(*nodes_[node], OwnershipChecks::sampleKey(i))) {
        serving[i] = node;
      }
    }
  }
  return serving;
}

std::size_t OwnershipWorld::servedKeys() const {
  std::size_t served = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    served += servedBy(i);
  }
  return served;
}

void OwnershipWorld::noteTake(const SimulatedServer& server, Key first, Key last, FenceToken token) {
  checks_.onTake(server, first, last, token, running());
}

OwnershipChecks::Servers OwnershipWorld::running() const {
  OwnershipChecks::Servers servers;
  for (const auto& node : nodes_) {
    if (node->server) {
      servers.push_back(node->server.get());
    }
  }
  return servers;
}

}  // namespace shedlever::sim
