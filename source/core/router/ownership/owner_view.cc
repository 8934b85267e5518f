#include "source/core/router/ownership/owner_view.h"

#include <iterator>

namespace shedlever {

void OwnerView::dropHintsUpTo(StoreRevision revision) {
  std::erase_if(hints_, [revision](const auto& entry) { return entry.second.revision <= revision; });
}

void OwnerView::addHint(const OwnerHint& hint, StoreRevision table_revision) {
  if (hint.revision <= table_revision || hint.last < hint.first) {
    return;
  }
  const auto overlaps = [&hint](const OwnerHint& other) {
    return other.first <= hint.last && hint.first <= other.last;
  };
  for (const auto& [first, other] : hints_) {
    if (overlaps(other) && other.revision > hint.revision) {
      return;
    }
  }
  std::erase_if(hints_, [&overlaps](const auto& entry) { return overlaps(entry.second); });
  hints_[hint.first] = hint;
}

KeyOwner OwnerView::find(Key key, const OwnerTable& table, StoreRevision table_revision) {
  if (!hints_.empty()) {
    dropHintsUpTo(table_revision);
    const auto after = hints_.upper_bound(key);
    if (after != hints_.begin() && key <= std::prev(after)->second.last) {
      const OwnerHint& hint = std::prev(after)->second;
      return {hint.owner, hint.node, hint.revision};
    }
  }
  const OwnedRange* range = table.find(key);
  return range == nullptr ? KeyOwner{} : KeyOwner{range->owner, range->node, table_revision};
}

}  // namespace shedlever
