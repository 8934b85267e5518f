#pragma once

/// @file
/// Decides when a node divides the keys of a service that has no owner table yet. A division made before all servers
/// are known would leave the keys with the few that are, and moving them later takes long.

#include <cstddef>
#include <vector>

#include "shedlever/time.h"
#include "source/core/router/ownership/owner_table.h"
#include "source/core/router/ownership/ownership_config.h"

namespace shedlever {

/// What a node knows about the servers of its service.
struct KnownServers {
  /// Servers that accept requests.
  std::vector<OwnerLocation> available;
  /// Number of nodes among them with a name before this node's.
  std::size_t rank = 0;
  /// The store confirmed that the known servers were all at this time. Changes that were read say nothing about it: in
  /// a large fleet they may have been delayed for seconds.
  TimePoint confirmed_at{};
};

enum class DivisionStep : std::uint8_t {
  Wait,
  ConfirmServers,  ///< check the store for servers that are not known yet
  Divide,
};

class FirstDivision {
 public:
  /// @param config must outlive this object.
  explicit FirstDivision(const OwnershipConfig& config) : config_(config) {}

  /// Call at each tick while there is no table.
  /// @param server_since when this node's server was first seen.
  DivisionStep next(const KnownServers& servers, TimePoint server_since, TimePoint now);

 private:
  const OwnershipConfig& config_;
  std::vector<OwnerLocation> known_;
  /// When the known servers last changed.
  TimePoint changed_at_{};
  TimePoint next_confirmation_{};
};

}  // namespace shedlever
