#pragma once

/// @file
/// Changes of the owners of keys that were written to the owner table, and what shows that the previous owner holds
/// the keys no longer. For logs; nothing is decided from it.

#include <cstdint>
#include <optional>
#include <vector>

#include "source/core/router/ownership/owner_table.h"
#include "source/core/router/ownership/table_edit.h"

namespace shedlever {

/// What a change of owner rests on.
enum class OwnerChangeProof : std::uint8_t {
  ReleaseAnswered,       ///< the owner has answered the release, or reported it in a heartbeat
  GrantsExpired,         ///< for some of the ranges nobody reported the release; all grants had run out
  ConnectionRefused,     ///< the owner's address refused connections, and its grants have run out or it crashed
  LeaseRevoked,          ///< the lease of the owner's node had run out and was revoked in the store
  EarlierInstance,       ///< another instance has reported, and the owner's grants have run out or it ended
  PlannedFirstDivision,  ///< there was no owner before
};

/// @return the name in logs and metrics, for example `release-answered`.
const char* toString(OwnerChangeProof proof);

/// Keys whose owner has changed.
struct OwnerTransfer {
  KeyRange keys;
  /// Empty: none.
  InstanceId from;
  FenceToken token_before = 0;
  OwnerLocation to;
  /// 0: the table has changed again since.
  FenceToken token_after = 0;
};

/// One change of the table.
struct OwnerChange {
  OwnerChangeProof proof = OwnerChangeProof::PlannedFirstDivision;
  /// Node of the previous owner; empty for the first division.
  NodeName from_node;
  /// The previous owner may have held the keys until then at the latest, as far as this process knows; none: it held
  /// none of them when the change was made.
  std::optional<TimePoint> may_hold_until;
  std::vector<OwnerTransfer> transfers;
};

/// @param results what became of the edits.
/// @param table after the change.
/// @return the transfers to other owners that are in the table.
std::vector<OwnerTransfer> transfersIn(const std::vector<TableEdit>& edits, const EditResults& results,
                                       const OwnerTable& table);

/// @return the transfers by which all keys of an initial table got their owners.
std::vector<OwnerTransfer> firstTransfers(const OwnerTable& table);

}  // namespace shedlever
