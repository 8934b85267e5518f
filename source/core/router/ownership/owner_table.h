#pragma once

/// @file
/// The owner table of one service: which server owns which keys. It is the value of one object in the metadata store,
/// and every change is one conditional write of the whole table.

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/router_frames.h"

namespace shedlever {

/// A fencing token. Tokens increase over the whole table; a server that has seen one for a key refuses all lower ones.
using FenceToken = std::uint64_t;

struct KeyRange {
  Key first = 0;
  Key last = 0;  ///< inclusive

  bool contains(Key key) const { return first <= key && key <= last; }
  std::uint32_t size() const { return static_cast<std::uint32_t>(last) - first + 1; }
  auto operator<=>(const KeyRange&) const = default;
};

struct OwnedRange {
  KeyRange keys;
  /// Empty: no owner.
  InstanceId owner;
  /// The node at which the owner runs.
  NodeName node;
  /// The owner's token, or the last one used if the range has no owner.
  FenceToken token = 0;
  /// State that the previous owner returned on release; empty if it could not be asked.
  std::string handover;
  /// The owner is about to release the range: its server was or will be asked to with `token` + 1, and the next owner
  /// gets a higher token than that.
  bool releasing = false;
  /// Requests per second that the previous owner measured for these keys when it released them; 0 if unknown.
  std::uint32_t rate = 0;

  auto operator<=>(const OwnedRange&) const = default;
};

/// A server that may own keys, and its node.
struct OwnerLocation {
  InstanceId instance;
  NodeName node;
  auto operator<=>(const OwnerLocation&) const = default;
};

/// Value type; changes are made on a copy, which is written on condition that the revision read is still current.
class OwnerTable {
 public:
  OwnerTable() = default;

  /// @param locations must not be empty.
  /// @param ranges_per_server ranges per server; the servers take turns.
  /// @param epoch of the store in which the table is written.
  /// @return an initial table that divides all keys evenly.
  static OwnerTable divideEvenly(const std::vector<OwnerLocation>& locations, std::uint32_t ranges_per_server = 1,
                                 StoreEpoch epoch = 0);

  /// @param ranges sorted by key.
  /// @return the table with this content; none unless the ranges cover all keys without gaps or overlaps.
  static std::optional<OwnerTable> assemble(FenceToken last_token, StoreEpoch epoch, std::uint64_t changes,
                                            std::vector<OwnedRange> ranges);

  /// Starts the next change, in the given epoch of the store. Tokens of a later epoch are higher than all tokens of
  /// earlier epochs, including those of changes that the store has lost.
  void beginChange(StoreEpoch epoch);

  /// @return the epoch of the last change.
  StoreEpoch epoch() const { return epoch_; }
  /// @return the number of changes so far.
  std::uint64_t changes() const { return changes_; }
  /// @return whether this table has changes that `other` lacks. Within one epoch the changes form a single sequence;
  ///   changes of a later epoch supersede all earlier ones.
  bool isNewerThan(const OwnerTable& other) const {
    return std::tie(epoch_, changes_) > std::tie(other.epoch_, other.changes_);
  }

  /// @return the range that contains the key; null in an empty table.
  const OwnedRange* find(Key key) const;

  /// Sorted, without gaps.
  const std::vector<OwnedRange>& ranges() const { return ranges_; }
  FenceToken lastToken() const { return last_token_; }

  /// @return the owner's ranges.
  std::vector<OwnedRange> ownedBy(const InstanceId& owner) const;

  /// @return ranges whose owner runs, or ran, at the node.
  std::vector<OwnedRange> ownedAt(const NodeName& node) const;

  /// Splits the range that contains all of `keys`, so that they form a range with the same owner and token.
  /// @return that range; null if no single range contains them all.
  OwnedRange* splitOff(const KeyRange& keys);

  /// Marks keys of one range as about to be released by their owner; splits the range if needed.
  /// @return the marked range; none unless one range of `owner` that is not being released contains all of `keys`.
  std::optional<OwnedRange> beginRelease(const KeyRange& keys, const InstanceId& owner);

  /// Removes the mark; the owner keeps the range under a new token.
  void abortRelease(const KeyRange& keys);

  /// Assigns exactly this range to an owner, with a token higher than those of all earlier owners.
  /// @param rate expected requests per second; 0: unknown.
  /// @return false if the table has no such range.
  bool assign(const KeyRange& keys, const OwnerLocation& location, const std::string& handover, std::uint32_t rate = 0);

  /// @return whether `mergeAdjacentRanges` would merge anything.
  bool hasMergeableRanges(const InstanceId& owner) const;

  /// Merges adjacent ranges of the owner under a new token; ranges that are being released are skipped.
  /// @return whether any ranges were merged.
  bool mergeAdjacentRanges(const InstanceId& owner);

  /// @return JSON text.
  std::string encode() const;

  /// @return the table, or Findings that describe the errors.
  static leaf::result<OwnerTable> decode(const std::string& text);

  bool operator==(const OwnerTable&) const = default;

 private:
  OwnedRange* findExact(const KeyRange& keys);
  FenceToken nextTokenAfter(const OwnedRange& range);

  std::vector<OwnedRange> ranges_;
  FenceToken last_token_ = 0;
  StoreEpoch epoch_ = 0;
  /// Incremented with each change.
  std::uint64_t changes_ = 0;
};

}  // namespace shedlever
