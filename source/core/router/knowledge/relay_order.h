#pragma once

/// @file
/// From whom a process hears of changes in the store.
///
/// One process in each zone hears for the others there, and one of these for the rest. All rank each other alike, by
/// zone and name, without agreeing on it. Two that see different processes may both watch the store, or follow one that
/// follows another: that costs calls or a step on the way, as each bounds by itself how old what it knows may be.

#include <cstdint>
#include <functional>
#include <vector>

#include "source/core/router/server_directory.h"

namespace shedlever {

/// A process's place on the way from the store to all others.
enum class RelayRank : std::uint8_t {
  Source,    ///< nobody ranks before it: it watches the store
  Zone,      ///< first of its zone: it follows a zone before its own
  Follower,  ///< it follows the first of its zone
  Alone,     ///< it can reach none of those that it should follow: it watches the store
};

struct RelayPlace {
  RelayRank rank = RelayRank::Source;
  /// Whom to follow, the best first; empty for who watches the store.
  std::vector<NodeName> relays;
  /// Whom else to follow while all of these are silent, or have no way to the store. They may rank behind this process:
  /// a third of all may be cut off from the store, this one and all before it among them.
  std::vector<NodeName> others;
};

/// @param nodes all that are known, in any order.
/// @param is_unreachable whether the last try to reach a node failed.
RelayPlace relayPlaceOf(const NodeName& self, const ZoneName& zone, const std::vector<const NodeRecord*>& nodes,
                        const std::function<bool(const NodeName&)>& is_unreachable);

}  // namespace shedlever
