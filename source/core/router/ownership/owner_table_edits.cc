#include "source/core/router/ownership/owner_table_edits.h"

namespace shedlever {

TableWriter::Edit confirmRanges(const OwnerLocation& self) {
  return [self](OwnerTable& table) {
    bool changed = false;
    for (const OwnedRange& range : table.ownedBy(self.instance)) {
      changed = table.assign(range.keys, self, range.handover) || changed;
    }
    return changed;
  };
}

bool needsReclaim(const OwnedRange& range, const OwnerLocation& self, bool moving) {
  return range.owner != self.instance || (range.releasing && !moving);
}

TableWriter::Edit reclaimRanges(const OwnerLocation& self) {
  return [self](OwnerTable& table) {
    bool changed = false;
    for (const OwnedRange& range : table.ownedAt(self.node)) {
      if (range.owner != self.instance) {
        changed = table.assign(range.keys, self, {}) || changed;
      } else if (range.releasing) {
        table.abortRelease(range.keys);
        changed = true;
      }
    }
    return changed;
  };
}

TableWriter::Edit reassignPieces(const InstanceId& ended, const std::vector<KeyRange>& pieces,
                                 const std::vector<OwnerLocation>& to) {
  return [ended, pieces, to](OwnerTable& table) {
    bool changed = false;
    for (std::size_t i = 0; i < pieces.size(); ++i) {
      const OwnedRange* range = table.find(pieces[i].first);
      if (range != nullptr && range->owner == ended && table.splitOff(pieces[i]) != nullptr) {
        changed = table.assign(pieces[i], to[i % to.size()], {}) || changed;
      }
    }
    return changed;
  };
}

TableWriter::Edit takeOver(const std::vector<OwnedRange>& lost, const std::vector<OwnerLocation>& to) {
  return [lost, to](OwnerTable& table) {
    bool changed = false;
    for (std::size_t i = 0; i < lost.size(); ++i) {
      const OwnedRange* range = table.find(lost[i].keys.first);
      if (range != nullptr && range->keys == lost[i].keys && range->token == lost[i].token) {
        changed = table.assign(lost[i].keys, to[i % to.size()], {}) || changed;
      }
    }
    return changed;
  };
}

TableWriter::Edit raiseToken(const OwnedRange& range, const OwnerLocation& owner) {
  return [keys = range.keys, token = range.token, owner](OwnerTable& table) {
    const OwnedRange* now = table.find(keys.first);
    return now != nullptr && now->keys == keys && now->token == token && now->owner == owner.instance &&
           !now->releasing && table.assign(keys, owner, now->handover);
  };
}

}  // namespace shedlever
