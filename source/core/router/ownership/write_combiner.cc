#include "source/core/router/ownership/write_combiner.h"

namespace shedlever {

namespace {

/// About as long as a machine takes to come back.
constexpr Duration kLeftAlone = std::chrono::seconds(3);

}  // namespace

NodeName WriteCombiner::choose(const ServerDirectory& directory, bool serves, TimePoint now) const {
  NodeName chosen = serves ? self_ : NodeName();
  for (const NodeRecord* record : directory.ready(service_)) {
    const auto failed = left_alone_until_.find(record->node);
    const bool left_alone = failed != left_alone_until_.end() && now < failed->second;
    if (record->node == self_ || left_alone || !directory.isHeardOf(record->node)) {
      continue;
    }
    if (chosen.empty() || record->node < chosen) {
      chosen = record->node;
    }
  }
  return chosen == self_ ? NodeName() : chosen;
}

void WriteCombiner::onFailed(const NodeName& node, TimePoint now) { left_alone_until_[node] = now + kLeftAlone; }

}  // namespace shedlever
