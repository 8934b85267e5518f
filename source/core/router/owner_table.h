#pragma once

/// @file
/// Who owns which keys of one service: the value of one object in the metadata store. Every change is one
/// conditional write of the whole table.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/owned_range.h"

namespace shedlever {

class OwnerTable;

/// @return what makes the one table of the other. Rows with tokens that `before` has not given out are told without
///   one: whoever makes the change there gives them out.
TableDelta deltaBetween(const OwnerTable& before, const OwnerTable& after);

/// A value; changes are made on a copy and written under the revision that it was read at.
class OwnerTable {
 public:
  OwnerTable() = default;

  /// @param places not empty. @param ranges_each that each of them gets, in turn with the others.
  /// @return a first table that divides all keys evenly.
  static OwnerTable divide(const std::vector<OwnerPlace>& places, std::uint32_t ranges_each = 1);

  /// @return the range of the key; null in an empty table.
  const OwnedRange* find(Key key) const;

  /// Sorted, without gaps.
  const std::vector<OwnedRange>& ranges() const { return ranges_; }
  FenceToken lastToken() const { return last_token_; }

  /// @return ranges of that owner.
  std::vector<OwnedRange> ownedBy(const InstanceId& owner) const;

  /// @return ranges whose owner runs, or ran, at the node.
  std::vector<OwnedRange> ownedAt(const NodeName& node) const;

  /// Splits the range that holds all of `keys` so that they are a range of their own, under the same owner and token.
  /// @return that range; null when no single range holds them all.
  OwnedRange* carve(const KeySpan& keys);

  /// Marks keys of one range that its owner is about to release; splits the range if they are a part of it.
  /// @return the marked range; none when `keys` lie in no single range of `owner` that is not releasing already.
  std::optional<OwnedRange> beginRelease(const KeySpan& keys, const InstanceId& owner);

  /// Takes the mark back: the owner keeps the range under a new token.
  void abortRelease(const KeySpan& keys);

  /// Gives exactly this range to an owner with a token above all that its owners had.
  /// @param rate requests a second that are to be expected for it; 0: not known.
  /// @return false when the table holds no such range.
  bool assign(const KeySpan& keys, const OwnerPlace& place, const std::string& handover, std::uint32_t rate = 0);

  /// @return whether `joinNeighbours` would join anything.
  bool hasNeighbours(const InstanceId& owner) const;

  /// Joins neighbours of one owner under a new token, where neither is releasing.
  /// @return whether anything was joined.
  bool joinNeighbours(const InstanceId& owner);

  /// Makes a change that was worked out on another version of the table.
  /// @return false, and nothing is changed, unless the rows that it replaces stand here exactly as they did there, and
  ///   those in their place cover the same keys.
  bool apply(const TableDelta& delta);

  /// @return all rows with a token above that.
  std::vector<OwnedRange> rowsAbove(FenceToken token) const;
  /// @return rows that hold any of the keys.
  std::vector<OwnedRange> rowsAt(const KeySpan& keys) const;

  /// Lays newer rows over this table. Owners are then as in the table that the rows are from, if this one knew all
  /// owners of when the rows' first token was given out; of other rows whether they are being released may be old.
  /// @return false, and nothing is changed, when the rows make no table together with this one.
  bool overlay(const std::vector<OwnedRange>& rows, FenceToken last_token);

  /// @return JSON text.
  std::string encode() const;

  /// @return the table, or Findings with what is wrong.
  static leaf::result<OwnerTable> decode(const std::string& text);

  bool operator==(const OwnerTable&) const = default;

 private:
  OwnedRange* exactly(const KeySpan& keys);
  FenceToken tokenAbove(const OwnedRange& range);

  std::vector<OwnedRange> ranges_;
  FenceToken last_token_ = 0;
};

}  // namespace shedlever
