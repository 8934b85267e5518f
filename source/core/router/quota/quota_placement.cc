#include "source/core/router/quota/quota_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

/// Longer than most network partitions last.
constexpr Duration kLostAfter = std::chrono::seconds(10);

std::uint64_t weightOf(const TenantName& tenant, const NodeName& node) {
  const std::uint64_t seed = XXH3_64bits(tenant.value.data(), tenant.value.size());
  return XXH3_64bits_withSeed(node.value.data(), node.value.size(), seed);
}

}  // namespace

void QuotaPlacement::update(std::vector<QuotaNode> nodes, TimePoint now) {
  nodes_ = std::move(nodes);
  std::map<NodeName, TimePoint> since;
  for (const QuotaNode& node : nodes_) {
    if (!node.reachable) {
      const auto known = unreachable_since_.find(node.node);
      since[node.node] = known == unreachable_since_.end() ? now : known->second;
    }
  }
  unreachable_since_ = std::move(since);
}

std::optional<NodeName> QuotaPlacement::holderOf(const TenantName& tenant, const std::set<NodeName>& excluded) const {
  const QuotaNode* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const QuotaNode& node : nodes_) {
    if (!node.reachable || excluded.contains(node.node)) {
      continue;
    }
    const std::uint64_t weight = weightOf(tenant, node.node);
    if (best == nullptr || weight > best_weight) {
      best = &node;
      best_weight = weight;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->node);
}

double QuotaPlacement::share(TimePoint now) const {
  const auto lost =
      static_cast<std::size_t>(std::count_if(unreachable_since_.begin(), unreachable_since_.end(),
                                             [now](const auto& entry) { return now - entry.second >= kLostAfter; }));
  const std::size_t reachable = nodes_.size() - unreachable_since_.size();
  const bool reaches_most = reachable * 2 > nodes_.size();
  if (lost > 0 && !reaches_most) {
    return 0;
  }
  const std::size_t counted = nodes_.size() - lost;
  return counted == 0 ? 0 : static_cast<double>(reachable) / static_cast<double>(counted);
}

}  // namespace shedlever
