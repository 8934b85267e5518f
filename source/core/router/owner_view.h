#pragma once

/// @file
/// Who owns a key, as far as this process knows: the owner table, and hints from a newer one.

#include <map>

#include "shedlever/metadata_store.h"
#include "source/core/router/owner_table.h"

namespace shedlever {

/// What a request for a key needs to know.
struct KeyOwner {
  /// Empty: nobody, or not known.
  InstanceId instance;
  NodeName node;
  /// Owner table, or hint, that says so; 0 when nothing is known.
  StoreRevision revision;
};

/// Hints make a moved key found at once by who asks its old owner, however late the table itself is read.
class OwnerView {
 public:
  /// Takes a hint; one that is not newer than the table, or than another for its keys, is ignored.
  /// @param table_revision of the table that `find` will be asked with.
  void addHint(const OwnerHint& hint, StoreRevision table_revision);

  /// @param table newest table read.
  KeyOwner find(Key key, const OwnerTable& table, StoreRevision table_revision);

 private:
  void dropHintsUpTo(StoreRevision revision);

  /// By first key; they don't overlap.
  std::map<Key, OwnerHint> hints_;
};

}  // namespace shedlever
