#pragma once

/// @file
/// Divides the keys of a service among its servers by their slots.

#include <functional>

#include "source/core/router/ownership/owner_table.h"

namespace shedlever {

/// @param even initial table whose ranges are about equal.
/// @param slots_of number of slots of the server at a node; 0 if unknown, which counts as the mean of the others.
/// @return the table with the same owners and tokens, and with ranges in proportion to the owners' slots; `even` itself
///   if all owners have the same number of slots, or if a range would have no keys.
OwnerTable resizeBySlots(const OwnerTable& even, const std::function<std::uint32_t(const NodeName&)>& slots_of);

}  // namespace shedlever
