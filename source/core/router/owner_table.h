#pragma once

/// @file
/// Who owns which keys of one service: the value of one object in the metadata store. Every change is one
/// conditional write of the whole table.

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/router_frames.h"

namespace shedlever {

/// A fencing token. Rises over the whole table; a server that has seen one for a key refuses all lower ones.
using FenceToken = std::uint64_t;

struct KeyRange {
  Key first = 0;
  Key last = 0;  ///< included

  bool contains(Key key) const { return first <= key && key <= last; }
  std::uint32_t size() const { return static_cast<std::uint32_t>(last) - first + 1; }
  auto operator<=>(const KeyRange&) const = default;
};

struct OwnedRange {
  KeyRange keys;
  /// Empty: nobody owns the range.
  InstanceId owner;
  /// Where the owner runs.
  NodeName node;
  /// The owner's token, or the last one used when nobody owns the range.
  FenceToken token = 0;
  /// What the last owner gave when it let go; empty when it could not be asked.
  std::string handover;
  /// The owner is about to let go: its server was, or will be, told to with `token` + 1, and no owner after it gets
  /// a token that is not above that.
  bool releasing = false;
  /// Requests a second that the last owner saw for these keys when it gave them; 0 where that is not known.
  std::uint32_t rate = 0;

  auto operator<=>(const OwnedRange&) const = default;
};

/// A server that may own keys.
struct OwnerLocation {
  InstanceId instance;
  NodeName node;
  auto operator<=>(const OwnerLocation&) const = default;
};

/// A value; changes are made on a copy and written under the revision that it was read at.
class OwnerTable {
 public:
  OwnerTable() = default;

  /// @param places not empty. @param ranges_each that each of them gets, in turn with the others.
  /// @param epoch of the store that it is written in.
  /// @return a first table that divides all keys evenly.
  static OwnerTable divideEvenly(const std::vector<OwnerLocation>& places, std::uint32_t ranges_each = 1,
                                 StoreEpoch epoch = 0);

  /// Begins the next change, in that epoch of the store. The tokens of a later epoch are above all of an earlier one,
  /// also above those of changes that the store has lost.
  void beginChange(StoreEpoch epoch);

  /// @return the epoch in which it was changed last.
  StoreEpoch epoch() const { return epoch_; }
  /// @return whether it has had changes that the other one has not: tables of one epoch follow each other in one line,
  /// and
  ///   what was changed in a later epoch stands above all of an earlier one.
  bool isNewerThan(const OwnerTable& other) const {
    return std::tie(epoch_, changes_) > std::tie(other.epoch_, other.changes_);
  }

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
  OwnedRange* splitOff(const KeyRange& keys);

  /// Marks keys of one range that its owner is about to release; splits the range if they are a part of it.
  /// @return the marked range; none when `keys` lie in no single range of `owner` that is not releasing already.
  std::optional<OwnedRange> beginRelease(const KeyRange& keys, const InstanceId& owner);

  /// Takes the mark back: the owner keeps the range under a new token.
  void abortRelease(const KeyRange& keys);

  /// Gives exactly this range to an owner with a token above all that its owners had.
  /// @param rate requests a second that are to be expected for it; 0: not known.
  /// @return false when the table holds no such range.
  bool assign(const KeyRange& keys, const OwnerLocation& place, const std::string& handover, std::uint32_t rate = 0);

  /// @return whether `mergeAdjacentRanges` would join anything.
  bool hasMergeableRanges(const InstanceId& owner) const;

  /// Joins neighbours of one owner under a new token, where neither is releasing.
  /// @return whether anything was joined.
  bool mergeAdjacentRanges(const InstanceId& owner);

  /// @return JSON text.
  std::string encode() const;

  /// @return the table, or Findings with what is wrong.
  static leaf::result<OwnerTable> decode(const std::string& text);

  bool operator==(const OwnerTable&) const = default;

 private:
  OwnedRange* findExact(const KeyRange& keys);
  FenceToken nextTokenAfter(const OwnedRange& range);

  std::vector<OwnedRange> ranges_;
  FenceToken last_token_ = 0;
  StoreEpoch epoch_ = 0;
  /// Rises with each change that is written.
  std::uint64_t changes_ = 0;
};

}  // namespace shedlever
