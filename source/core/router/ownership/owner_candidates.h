#pragma once

/// @file
/// Which servers of a service may own keys, and which of them a node moves keys to.

#include <cstddef>
#include <vector>

#include "shedlever/time.h"
#include "source/core/router/directory/server_directory.h"
#include "source/core/router/ownership/owner_table.h"
#include "source/core/router/ownership/ownership_config.h"

namespace shedlever {

/// Chooses among the servers of one service, as seen by one node.
class OwnerCandidates {
 public:
  /// @param self the node that chooses.
  /// @param config, directory, table must outlive this object; `table` is the newest known table of the service.
  OwnerCandidates(NodeName self, ServiceName service, const OwnershipConfig& config, const ServerDirectory& directory,
                  const OwnerTable& table);

  /// @return all servers that accept requests, including the server of this node.
  std::vector<OwnerLocation> available() const;

  /// @return number of nodes with a server that accepts requests and a name before this node's: the order in which
  ///   nodes take actions that one of them should take.
  std::size_t rank() const;

  /// @return other servers that keys may be moved to, least loaded first. Servers with a high failure ratio are
  ///   included only if there are no others.
  std::vector<OwnerLocation> targets(TimePoint now) const;

  /// @return the targets that name no request limit, or all targets if each names one. For moves of all keys of a
  /// server,
  ///   which are divided evenly.
  std::vector<OwnerLocation> unlimitedTargets(TimePoint now) const;

  /// @param own_failure_ratio share of recent requests that failed at this node's server.
  /// @return targets at which far fewer requests fail than here; empty while few fail here.
  std::vector<OwnerLocation> healthierTargets(double own_failure_ratio, TimePoint now) const;

 private:
  double loadOf(const OwnerLocation& location, TimePoint now) const;

  NodeName self_;
  ServiceName service_;
  const OwnershipConfig& config_;
  const ServerDirectory& directory_;
  const OwnerTable& table_;
};

}  // namespace shedlever
