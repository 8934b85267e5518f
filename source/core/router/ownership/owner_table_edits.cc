#include "source/core/router/ownership/owner_table_edits.h"

#include <algorithm>

namespace shedlever {

std::vector<TableEdit> confirmRanges(const OwnerTable& table, const OwnerLocation& self) {
  std::vector<TableEdit> edits;
  for (const OwnedRange& range : table.ownedBy(self.instance)) {
    edits.push_back(TableEdit::assign(range, range.keys, self, range.handover));
  }
  return edits;
}

bool allConfirmed(const OwnerTable& table, const InstanceId& server, const std::vector<TableEdit>& confirmation,
                  const EditResults& results) {
  const std::vector<OwnedRange> owned = table.ownedBy(server);
  return std::all_of(owned.begin(), owned.end(), [&](const OwnedRange& range) {
    for (std::size_t i = 0; i < results.size(); ++i) {
      if (results[i] == EditResult::Written && confirmation[i].keys() == range.keys) {
        return true;
      }
    }
    return false;
  });
}

bool needsReclaim(const OwnedRange& range, const OwnerLocation& self, bool moving, EarlierGrants earlier) {
  if (range.owner != self.instance) {
    return earlier == EarlierGrants::RunOut;
  }
  return range.releasing && !moving;
}

std::vector<TableEdit> reclaimRanges(const OwnerTable& table, const OwnerLocation& self, EarlierGrants earlier) {
  std::vector<TableEdit> edits;
  for (const OwnedRange& range : table.ownedAt(self.node)) {
    if (!needsReclaim(range, self, false, earlier)) {
      continue;
    }
    if (range.owner != self.instance) {
      edits.push_back(TableEdit::assign(range, range.keys, self, {}));
    } else {
      edits.push_back(TableEdit::abortRelease(range));
    }
  }
  return edits;
}

std::vector<TableEdit> reassignPieces(const OwnerTable& table, const InstanceId& ended,
                                      const std::vector<KeyRange>& pieces, const std::vector<OwnerLocation>& to) {
  std::vector<TableEdit> edits;
  for (std::size_t i = 0; i < pieces.size(); ++i) {
    const OwnedRange* range = table.find(pieces[i].first);
    if (range != nullptr && range->owner == ended) {
      edits.push_back(TableEdit::assign(*range, pieces[i], to[i % to.size()], {}));
    }
  }
  return edits;
}

std::vector<TableEdit> takeOver(const std::vector<OwnedRange>& lost, const std::vector<OwnerLocation>& to) {
  std::vector<TableEdit> edits;
  for (std::size_t i = 0; i < lost.size(); ++i) {
    edits.push_back(TableEdit::assign(lost[i], lost[i].keys, to[i % to.size()], {}));
  }
  return edits;
}

TableEdit raiseToken(const OwnedRange& range, const OwnerLocation& owner) {
  OwnedRange expected = range;
  expected.owner = owner.instance;
  expected.releasing = false;
  return TableEdit::assign(expected, range.keys, owner, range.handover);
}

}  // namespace shedlever
