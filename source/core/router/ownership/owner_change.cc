#include "source/core/router/ownership/owner_change.h"

#include <algorithm>

namespace shedlever {

namespace {

FenceToken tokenOf(const OwnerTable& table, const TableEditEntry& entry) {
  const OwnedRange* range = table.find(entry.first);
  return range != nullptr && range->owner == entry.owner ? range->token : 0;
}

bool changesOwner(const TableEditEntry& entry) {
  return entry.kind == TableEditKind::Assign && entry.owner != entry.expected.owner;
}

}  // namespace

const char* toString(OwnerChangeProof proof) {
  switch (proof) {
    case OwnerChangeProof::ReleaseAnswered:
      return "release-answered";
    case OwnerChangeProof::GrantsExpired:
      return "grants-expired";
    case OwnerChangeProof::ConnectionRefused:
      return "connection-refused";
    case OwnerChangeProof::LeaseRevoked:
      return "lease-revoked";
    case OwnerChangeProof::EarlierInstance:
      return "earlier-instance";
    case OwnerChangeProof::PlannedFirstDivision:
      break;
  }
  return "first-division";
}

std::vector<OwnerTransfer> transfersIn(const std::vector<TableEdit>& edits, const EditResults& results,
                                       const OwnerTable& table) {
  std::vector<OwnerTransfer> transfers;
  for (std::size_t i = 0; i < std::min(edits.size(), results.size()); ++i) {
    const TableEditEntry* entry = edits[i].entry();
    if (entry != nullptr && changesOwner(*entry) && isInTable(results[i])) {
      transfers.push_back({edits[i].keys(),
                           entry->expected.owner,
                           entry->expected.token,
                           {entry->owner, entry->node},
                           tokenOf(table, *entry)});
    }
  }
  return transfers;
}

std::vector<OwnerTransfer> firstTransfers(const OwnerTable& table) {
  std::vector<OwnerTransfer> transfers;
  for (const OwnedRange& range : table.ranges()) {
    transfers.push_back({range.keys, {}, 0, {range.owner, range.node}, range.token});
  }
  return transfers;
}

}  // namespace shedlever
