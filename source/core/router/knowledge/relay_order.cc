#include "source/core/router/knowledge/relay_order.h"

#include <algorithm>
#include <map>
#include <set>

namespace shedlever {

namespace {

/// Whom else to follow when the first is silent; beyond that the store is watched.
constexpr std::size_t kMostRelays = 2;
constexpr std::size_t kMostOthers = 3;

}  // namespace

namespace {

/// The nodes that one process could follow, by zone and name.
struct Candidates {
  std::map<ZoneName, std::set<NodeName>> by_zone;
  std::size_t all = 0;
  std::size_t unreachable = 0;
};

Candidates candidatesFor(const NodeName& self, const std::vector<const NodeRecord*>& nodes,
                         const std::function<bool(const NodeName&)>& is_unreachable) {
  Candidates candidates;
  for (const NodeRecord* record : nodes) {
    if (record->node == self) {
      continue;
    }
    ++candidates.all;
    if (is_unreachable(record->node)) {
      ++candidates.unreachable;
    } else if (!record->draining) {
      candidates.by_zone[record->zone].insert(record->node);
    }
  }
  return candidates;
}

/// Adds a node unless it is among them, or they are enough.
void addNode(std::vector<NodeName>& nodes, const NodeName& node, std::size_t most) {
  if (nodes.size() < most && std::find(nodes.begin(), nodes.end(), node) == nodes.end()) {
    nodes.push_back(node);
  }
}

}  // namespace

RelayPlace relayPlaceOf(const NodeName& self, const ZoneName& zone, const std::vector<const NodeRecord*>& nodes,
                        const std::function<bool(const NodeName&)>& is_unreachable) {
  const Candidates candidates = candidatesFor(self, nodes, is_unreachable);
  RelayPlace place;
  const auto own = candidates.by_zone.find(zone);
  if (own != candidates.by_zone.end()) {
    for (auto node = own->second.begin(); node != own->second.lower_bound(self); ++node) {
      addNode(place.relays, *node, kMostRelays);
    }
  }
  if (!place.relays.empty()) {
    place.rank = RelayRank::Follower;
  } else {
    for (auto before = candidates.by_zone.begin(); before != candidates.by_zone.lower_bound(zone); ++before) {
      addNode(place.relays, *before->second.begin(), kMostRelays);
      place.rank = RelayRank::Zone;
    }
  }
  if (place.relays.empty() && 2 * candidates.unreachable > candidates.all) {
    place.rank = RelayRank::Alone;
  }
  for (const auto& [name, others] : candidates.by_zone) {
    if (name != zone) {
      addNode(place.others, *others.begin(), kMostOthers);
    }
  }
  if (own != candidates.by_zone.end()) {
    addNode(place.others, *own->second.rbegin(), kMostOthers + 1);
  }
  return place;
}

}  // namespace shedlever
