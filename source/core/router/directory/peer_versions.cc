#include "source/core/router/directory/peer_versions.h"

#include <algorithm>

namespace shedlever {

WireVersion PeerVersions::highestVersion(const NodeRecord& record) {
  return record.wire_version == 0 ? kUnstatedWireVersion : std::min(record.wire_version, kNewestWireVersion);
}

WireVersion PeerVersions::versionFor(const NodeRecord& record) const {
  const auto found = lower_versions_.find(record.node);
  const bool is_current = found != lower_versions_.end() && found->second.incarnation == record.incarnation;
  return is_current ? std::min(found->second.version, highestVersion(record)) : highestVersion(record);
}

bool PeerVersions::onRejected(const NodeRecord& record, WireVersion version) {
  if (version <= kOldestWireVersion) {
    lower_versions_.erase(record.node);
    return false;
  }
  lower_versions_[record.node] = {record.incarnation, static_cast<WireVersion>(version - 1)};
  return true;
}

void PeerVersions::onAccepted(const NodeRecord& record, WireVersion version) {
  if (version >= highestVersion(record)) {
    lower_versions_.erase(record.node);
  } else {
    lower_versions_[record.node] = {record.incarnation, version};
  }
}

}  // namespace shedlever
