#pragma once

/// @file
/// Frames with which router processes exchange owner tables.

#include <cstdint>
#include <string>
#include <vector>

#include "shedlever/identifiers.h"
#include "shedlever/store_revision.h"
#include "shedlever/wire_version.h"

namespace shedlever {

/// Number of keys of a service whose keys are divided among servers.
inline constexpr std::uint32_t kKeyCount = 65536;
using Key = std::uint16_t;

/// Copy of a store object.
struct ObjectCopy {
  std::string name;
  StoreRevision revision;
  std::string value;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, revision, value);
  }
};

/// Short hashes of an owner table, one for each of a fixed number of equally long segments of the keys. A segment's
/// hash covers all ranges that overlap it. Empty for a process without a table.
using OwnerTableDigest = std::vector<std::uint16_t>;

/// Requests the owner table of the receiver's own service if the receiver has a newer one; answered with
/// `OwnerTableDeltaFrame`, or with `OwnerTableFrame` if there is no digest.
struct OwnerTableRequestFrame {
  /// Revision of the sender's table; none if it has no table.
  StoreRevision known;
  OwnerTableDigest digest = {};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known, sinceWireVersion(kTableDeltaWireVersion, digest));
  }
};

/// An owner table, in reply to a request.
struct OwnerTableFrame {
  ObjectCopy table;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(table);
  }
};

/// A server that owns key ranges, and its node.
struct DeltaOwner {
  InstanceId instance;
  NodeName node;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(instance, node);
  }
};

/// A key range of an owner table with its owner and state.
struct DeltaRange {
  Key first = 0;
  Key last = 0;  ///< inclusive
  /// Position of the owner in the delta's list of owners, from 1; 0: no owner.
  std::uint32_t owner = 0;
  std::uint64_t token = 0;
  std::string handover;
  bool releasing = false;
  std::uint32_t rate = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(first, last, owner, token, handover, releasing, rate);
  }
};

/// The difference of an owner table from an earlier one: the one whose digest was in the request or, sent after a write
/// to the nodes that keys are assigned to, the table before the write. The table consists of `ranges` and of all ranges
/// of the earlier table that overlap none of them.
struct OwnerTableDeltaFrame {
  /// Name of the table's object in the store.
  std::string name;
  /// Revision of the earlier table.
  StoreRevision base;
  /// Revision of the table.
  StoreRevision revision;
  std::uint64_t last_token = 0;
  StoreEpoch epoch = 0;
  std::uint64_t changes = 0;
  std::vector<DeltaOwner> owners;
  /// Sorted by key.
  std::vector<DeltaRange> ranges;
  /// Hash of the encoded table.
  std::uint64_t checksum = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, base, revision, last_token, epoch, changes, owners, ranges, checksum);
  }
};

}  // namespace shedlever
