#pragma once

/// @file
/// The changes that a node makes to the owner table outside of moves, made for the table that the node knows.

#include <vector>

#include "source/core/router/ownership/owner_table.h"
#include "source/core/router/ownership/table_edit.h"

namespace shedlever {

/// Gives the server its own ranges again, under new tokens.
std::vector<TableEdit> confirmRanges(const OwnerTable& table, const OwnerLocation& self);

/// @param confirmation the edits of a confirmation.
/// @param results what became of them.
/// @return whether each range of the server in this table got its token from the confirmation.
bool allConfirmed(const OwnerTable& table, const InstanceId& server, const std::vector<TableEdit>& confirmation,
                  const EditResults& results);

/// Whether the grants of earlier instances of a node's server have run out. An earlier instance may still run beside
/// its successor and hold keys.
enum class EarlierGrants : std::uint8_t { MayLast, RunOut };

/// @return whether `reclaimRanges` would change the range.
/// @param moving this process is moving keys, so that a release in the table may be its own.
bool needsReclaim(const OwnedRange& range, const OwnerLocation& self, bool moving, EarlierGrants earlier);

/// Gives the server the ranges of earlier instances at its node, once their grants have run out, and aborts releases of
/// its own ranges.
std::vector<TableEdit> reclaimRanges(const OwnerTable& table, const OwnerLocation& self, EarlierGrants earlier);

/// Gives the pieces of an ended server's ranges to the servers in `to`, in turn.
/// @param to must not be empty.
std::vector<TableEdit> reassignPieces(const OwnerTable& table, const InstanceId& ended,
                                      const std::vector<KeyRange>& pieces, const std::vector<OwnerLocation>& to);

/// Gives the ranges of a node whose lease was revoked to the servers in `to`, in turn.
/// @param lost the ranges that the node owned when its lease was revoked; it may have confirmed them since.
/// @param to must not be empty.
std::vector<TableEdit> takeOver(const std::vector<OwnedRange>& lost, const std::vector<OwnerLocation>& to);

/// Gives the owner a new token for its range, because the server has seen a higher one than the range's.
TableEdit raiseToken(const OwnedRange& range, const OwnerLocation& owner);

}  // namespace shedlever
