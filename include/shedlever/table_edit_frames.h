#pragma once

/// @file
/// Frames by which a process lets another one write its changes of an owner table, so that the changes of many owners
/// take one write.

#include <cstdint>
#include <string>
#include <vector>

#include "shedlever/identifiers.h"
#include "shedlever/owner_table_frames.h"
#include "shedlever/store_revision.h"

namespace shedlever {

/// A range exactly as it must be in the table for an edit to apply. Tokens never return to an earlier value, so an edit
/// that is delayed can't apply to a later state.
struct ExpectedRange {
  Key first = 0;
  Key last = 0;
  InstanceId owner;
  std::uint64_t token = 0;
  bool releasing = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(first, last, owner, token, releasing);
  }
};

/// What an edit does with its keys.
enum class TableEditKind : std::uint8_t {
  BeginRelease,  ///< mark the keys as about to be released
  Assign,        ///< assign the keys to an owner
  AbortRelease,  ///< remove the mark
};

/// One change of an owner table.
struct TableEditEntry {
  TableEditKind kind = TableEditKind::BeginRelease;
  ExpectedRange expected;
  /// Keys within the expected range that the edit applies to.
  Key first = 0;
  Key last = 0;
  /// New owner; used by `Assign`.
  InstanceId owner;
  NodeName node;
  /// Data from the previous owner's server for the new one; used by `Assign`.
  std::string handover;
  /// Requests per second for the keys; 0 if unknown.
  std::uint32_t rate = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, expected, first, last, owner, node, handover, rate);
  }
};

/// Asks the receiver to write the edits to the owner table of its own service.
struct TableEditsFrame {
  std::uint64_t exchange = 0;
  ServiceName service;
  std::vector<TableEditEntry> edits;
  /// Epoch of the store in which the edits were made; they are not applied in another one, because a restored store may
  /// hold earlier states of the keys.
  StoreEpoch epoch = 0;
  /// The sender's table; the receiver sends what is newer before its reply.
  OwnerTableRequestFrame known = {};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, service, edits, epoch, known);
  }
};

/// Answers `TableEditsFrame`.
struct TableEditsReplyFrame {
  std::uint64_t exchange = 0;
  /// Whether the edits were decided on; if not, the sender writes them itself.
  bool decided = false;
  /// For each edit, whether it is in the table of this revision.
  std::vector<bool> written;
  StoreRevision revision;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, decided, written, revision);
  }
};

}  // namespace shedlever
