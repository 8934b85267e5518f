#pragma once

/// @file
/// Chooses the node that holds a tenant's quota: the one with the highest hash of tenant and node among those that can
/// be reached (rendezvous hashing), so that all nodes choose alike and a lost node moves only the tenants it held.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"

namespace shedlever {

/// A node that may hold quotas, as seen by one process.
struct QuotaNode {
  NodeName node;
  bool reachable = true;
};

class QuotaPlacement {
 public:
  /// Takes over the present view of the nodes.
  /// @param nodes all nodes that may hold quotas, including this one.
  void update(std::vector<QuotaNode> nodes, TimePoint now);

  /// @param excluded nodes that have not answered lately.
  /// @return the node that holds the tenant's quota; std::nullopt if there is none.
  std::optional<NodeName> holderOf(const TenantName& tenant, const std::set<NodeName>& excluded) const;

  /// Nodes on both sides of a network partition may hold the same quota, so each side grants only its part. Nodes that
  /// stay unreachable count as lost for good where most nodes are reached, and stop the granting elsewhere.
  /// @return the part of each quota that this side may grant, from 0 to 1.
  double share(TimePoint now) const;

 private:
  std::vector<QuotaNode> nodes_;
  std::map<NodeName, TimePoint> unreachable_since_;
};

}  // namespace shedlever
