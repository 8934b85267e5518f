#include "source/core/router/knowledge/relay_order.h"

#include <algorithm>
#include <map>
#include <set>

namespace shedlever {

namespace {

/// Whom else to follow when the first is silent; beyond that the store is watched.
constexpr std::size_t kMostRelays = 3;

}  // namespace

RelayPlace relayPlaceOf(const NodeName& self, const ZoneName& zone, const std::vector<const NodeRecord*>& nodes,
                        const std::function<bool(const NodeName&)>& is_unreachable) {
  std::set<NodeName> before_in_zone;
  std::map<ZoneName, NodeName> first_of_zones;
  std::size_t others = 0;
  std::size_t unreachable = 0;
  for (const NodeRecord* record : nodes) {
    if (record->node == self) {
      continue;
    }
    ++others;
    if (is_unreachable(record->node)) {
      ++unreachable;
      continue;
    }
    if (record->draining) {
      continue;
    }
    if (record->zone == zone) {
      if (record->node < self) {
        before_in_zone.insert(record->node);
      }
    } else if (record->zone < zone) {
      NodeName& first = first_of_zones.try_emplace(record->zone, record->node).first->second;
      first = std::min(first, record->node);
    }
  }
  RelayPlace place;
  for (const NodeName& node : before_in_zone) {
    place.relays.push_back(node);
  }
  if (!place.relays.empty()) {
    place.rank = RelayRank::Follower;
  } else if (!first_of_zones.empty()) {
    place.rank = RelayRank::Zone;
    for (const auto& [name, node] : first_of_zones) {
      place.relays.push_back(node);
    }
  } else if (2 * unreachable > others) {
    place.rank = RelayRank::Alone;
  }
  place.relays.resize(std::min(place.relays.size(), kMostRelays));
  return place;
}

}  // namespace shedlever
