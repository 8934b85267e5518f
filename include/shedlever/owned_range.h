#pragma once

/// @file
/// Ranges of keys and their owners, as the owner tables hold them and processes tell them to each other.

#include <cstdint>
#include <string>
#include <vector>

#include "shedlever/identifiers.h"

namespace shedlever {

/// A fencing token. Rises over the whole table; a server that has seen one for a key refuses all lower ones.
using FenceToken = std::uint64_t;

struct KeySpan {
  Key first = 0;
  Key last = 0;  ///< included

  bool contains(Key key) const { return first <= key && key <= last; }
  std::uint32_t size() const { return static_cast<std::uint32_t>(last) - first + 1; }
  auto operator<=>(const KeySpan&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(first, last);
  }
};

struct OwnedRange {
  KeySpan keys;
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

  template <class Archive>
  void serialize(Archive& archive) {
    archive(keys, owner, node, token, handover, releasing, rate);
  }
};

/// A server that may own keys.
struct OwnerPlace {
  InstanceId instance;
  NodeName node;
  auto operator<=>(const OwnerPlace&) const = default;
};

/// A change of an owner table that says what it rests on: it may be made on any version in which these rows stand. As
/// a token is given out once and a row under it changes only by beginning its release, a row that stands as it did has
/// not changed in between.
struct TableDelta {
  /// Rows as they must stand.
  std::vector<OwnedRange> before;
  /// Rows in their place, over the same keys. A token of 0: a new one, above all that were given out.
  std::vector<OwnedRange> after;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(before, after);
  }
};

/// Rows of an owner table that have changed, for a process that knows an earlier version: all that were given an owner
/// since `after_token` was the last token given out. As tokens rise over the whole table, nothing else has another
/// owner.
struct TableRows {
  ServiceName service;
  /// The table's revision in the store as the sender knows it.
  std::uint64_t revision = 0;
  FenceToken after_token = 0;
  FenceToken last_token = 0;
  std::vector<OwnedRange> rows;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, revision, after_token, last_token, rows);
  }
};

}  // namespace shedlever
