#pragma once

/// @file
/// Looks up the owner of a key in the owner table and in hints from newer tables.

#include <map>

#include "shedlever/metadata_store.h"
#include "source/core/router/ownership/owner_table.h"

namespace shedlever {

/// The owner of a key, as a request for the key needs it.
struct KeyOwner {
  /// Empty: no owner, or unknown.
  InstanceId instance;
  NodeName node;
  /// Revision of the owner table or hint; 0 if nothing is known.
  StoreRevision revision;
};

/// Hints let a process that contacted the old owner of a moved key find the new one at once, before it reads the new
/// table.
class OwnerView {
 public:
  /// Adds a hint; ignored if it is not newer than the table or is older than a hint for any of its keys.
  /// @param table_revision revision of the table that is passed to `find`.
  void addHint(const OwnerHint& hint, StoreRevision table_revision);

  /// @param table the newest table read.
  KeyOwner find(Key key, const OwnerTable& table, StoreRevision table_revision);

 private:
  void dropHintsUpTo(StoreRevision revision);

  /// By first key, without overlaps.
  std::map<Key, OwnerHint> hints_;
};

}  // namespace shedlever
