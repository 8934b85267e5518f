#pragma once

/// @file
/// Differences of owner tables. A process that needs a newer table sends a digest of the one it has and receives only
/// the ranges in the segments of the keys that differ. The sender needs no history of the table.

#include <optional>

#include "source/core/router/ownership/owner_table.h"

namespace shedlever {

/// @return the digest of the table; empty for a table without ranges.
OwnerTableDigest digestOf(const OwnerTable& table);

/// @param known digest that `digestOf` has computed for the earlier table.
/// @return the difference from the earlier table; the caller sets its name and revisions.
OwnerTableDeltaFrame makeDelta(const OwnerTable& table, const OwnerTableDigest& known);

/// @return the table that the delta describes; none if `earlier` is not the table that the delta was made for, or if
/// two
///   different segments had the same hash.
std::optional<OwnerTable> applyDelta(const OwnerTable& earlier, const OwnerTableDeltaFrame& delta);

}  // namespace shedlever
