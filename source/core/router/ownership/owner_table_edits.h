#pragma once

/// @file
/// The changes that a node makes to the owner table outside of moves. Each edit may run on any later table than the one
/// it was made for: it leaves alone the ranges that have changed since.

#include <vector>

#include "source/core/router/ownership/owner_table.h"
#include "source/core/router/ownership/table_writer.h"

namespace shedlever {

/// Gives the server its own ranges again, under new tokens.
TableWriter::Edit confirmRanges(const OwnerLocation& self);

/// @return whether `reclaimRanges` would change the range.
/// @param moving this process is moving keys, so that a release in the table may be its own.
bool needsReclaim(const OwnedRange& range, const OwnerLocation& self, bool moving);

/// Gives the server the ranges of earlier instances at its node, and aborts releases of its own ranges.
TableWriter::Edit reclaimRanges(const OwnerLocation& self);

/// Gives the pieces of an ended server's ranges to the servers in `to`, in turn.
/// @param to must not be empty.
TableWriter::Edit reassignPieces(const InstanceId& ended, const std::vector<KeyRange>& pieces,
                                 const std::vector<OwnerLocation>& to);

/// Gives the ranges of a node whose lease was revoked to the servers in `to`, in turn.
/// @param lost the ranges that the node owned when its lease was revoked; it may have confirmed them since.
/// @param to must not be empty.
TableWriter::Edit takeOver(const std::vector<OwnedRange>& lost, const std::vector<OwnerLocation>& to);

/// Gives the owner a new token for its range, because the server has seen a higher one than the range's.
TableWriter::Edit raiseToken(const OwnedRange& range, const OwnerLocation& owner);

}  // namespace shedlever
