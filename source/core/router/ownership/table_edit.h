#pragma once

/// @file
/// One change of an owner table, with the state of the keys that it was made for.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "shedlever/table_edit_frames.h"
#include "source/core/router/ownership/owner_table.h"

namespace shedlever {

/// An edit applies only while its keys are in the state that it was made for. Each state of a key (owner,
/// token, releasing) holds for one unbroken time, because a token is given out once and the mark of a release ends only
/// with a new token. An edit that is delayed or applied twice can therefore not change a later state.
class TableEdit {
 public:
  /// Marks keys of the range as about to be released.
  static TableEdit beginRelease(const OwnedRange& expected, const KeyRange& keys);

  /// Removes the mark from the range; its owner keeps it under a new token.
  static TableEdit abortRelease(const OwnedRange& expected);

  /// Assigns keys of the range to an owner under a new token.
  /// @param rate expected requests per second; 0: unknown.
  static TableEdit assign(const OwnedRange& expected, const KeyRange& keys, const OwnerLocation& to,
                          const std::string& handover, std::uint32_t rate = 0);

  /// Merges adjacent ranges of the owner. Names no state of the keys, and only the owner's process may write it.
  static TableEdit mergeAdjacentRanges(const InstanceId& owner);

  /// @return whether the edit changed the table; otherwise the table is as before.
  bool apply(OwnerTable& table) const;

  /// @return whether the edit's effect is in the table, for example after a write whose answer was lost.
  bool isDone(const OwnerTable& table) const;

  /// Keys that the edit changes; meaningless for a merge.
  KeyRange keys() const;

  /// @return the form in which another process gets the edit; null for a merge.
  const TableEditEntry* entry() const { return std::get_if<TableEditEntry>(&action_); }
  static TableEdit fromEntry(TableEditEntry entry) { return TableEdit(std::move(entry)); }

 private:
  struct MergeEdit {
    InstanceId owner;
  };

  explicit TableEdit(std::variant<TableEditEntry, MergeEdit> action) : action_(std::move(action)) {}

  std::variant<TableEditEntry, MergeEdit> action_;
};

/// What became of an edit.
enum class EditResult : std::uint8_t {
  Written,          ///< this write put it into the table
  AlreadyDone,      ///< its effect was in the table before, at a time that is not known
  NoLongerApplies,  ///< its keys are in another state than the one that it was made for
  Undecided,        ///< it was not applied, because the store was restored from a backup since it was made
};

/// One result for each edit of a change, in order.
using EditResults = std::vector<EditResult>;

/// @return whether the edit's effect is in the table.
bool isInTable(EditResult result);

/// @return whether the effect of any of the edits is in the table.
bool anyInTable(const EditResults& results);

}  // namespace shedlever
