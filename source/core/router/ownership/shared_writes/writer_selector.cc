#include "source/core/router/ownership/shared_writes/writer_selector.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace shedlever {

namespace {

/// How long a node gets no edits after it failed to answer or to decide.
constexpr Duration kExclusion = std::chrono::seconds(2);
/// A node that is not connected after this time is passed over.
constexpr Duration kConnectTime = std::chrono::milliseconds(600);
/// Number of nodes to which streams are opened at once, so that `kConnectTime` is waited once for several lost nodes.
constexpr std::size_t kConnectedAtOnce = 3;

}  // namespace

WriterSelector::WriterSelector(NodeName self, ServiceName service, Ports ports)
    : self_(std::move(self)), service_(std::move(service)), ports_(std::move(ports)) {}

void WriterSelector::onFailed(const NodeName& node, TimePoint now) { excluded_until_[node] = now + kExclusion; }

bool WriterSelector::mayConnect(const NodeName& node, TimePoint now) {
  const auto [since, is_new] = connecting_since_.try_emplace(node, now);
  if (is_new) {
    ports_.connect(node);
  }
  return now - since->second < kConnectTime;
}

WriterSelector::Selection WriterSelector::select(TimePoint now) {
  std::erase_if(excluded_until_, [now](const auto& entry) { return entry.second <= now; });
  std::vector<NodeName> candidates;
  for (const NodeRecord* record : ports_.directory->availableServers(service_)) {
    const bool speaks_edits = record->wire_version >= kRequestPartsWireVersion;
    if (record->node == self_ || (speaks_edits && !excluded_until_.contains(record->node))) {
      candidates.push_back(record->node);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  std::erase_if(connecting_since_, [&](const auto& entry) {
    return ports_.can_send(entry.first) || !std::binary_search(candidates.begin(), candidates.end(), entry.first);
  });
  std::size_t connecting = 0;
  for (const NodeName& node : candidates) {
    if (node == self_ || ports_.can_send(node)) {
      const bool waits = connecting > 0;
      const auto kind = node == self_ ? Selection::Kind::Self : Selection::Kind::Other;
      return waits ? Selection{Selection::Kind::Wait} : Selection{kind, node};
    }
    connecting += mayConnect(node, now) ? 1 : 0;
    if (connecting == kConnectedAtOnce) {
      return {Selection::Kind::Wait};
    }
  }
  return {connecting > 0 ? Selection::Kind::Wait : Selection::Kind::Self};
}

}  // namespace shedlever
