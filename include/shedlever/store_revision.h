#pragma once

/// @file
/// Revisions of the metadata store.

#include <compare>
#include <cstdint>
#include <string>

namespace shedlever {

/// Incremented each time the store is restored from a backup. 0: the store reports no epoch.
using StoreEpoch = std::uint64_t;

/// Position in the change history of the store. After a restore the store continues to count from the count in the
/// backup, so counts are comparable only within one epoch; a revision of a later epoch is always newer.
struct StoreRevision {
  StoreEpoch epoch = 0;
  /// Number of changes; 0: no revision.
  std::uint64_t count = 0;

  constexpr StoreRevision() = default;
  constexpr StoreRevision(StoreEpoch its_epoch, std::uint64_t its_count) : epoch(its_epoch), count(its_count) {}
  /// For a store that reports no epoch.
  constexpr StoreRevision(std::uint64_t its_count) : count(its_count) {}  // NOLINT(google-explicit-constructor)

  bool none() const { return count == 0; }
  auto operator<=>(const StoreRevision&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, count);
  }
};

/// @return the form used in logs: the count, prefixed with the epoch if there is one, e.g. `2.115`.
inline std::string toString(const StoreRevision& revision) {
  const std::string count = std::to_string(revision.count);
  return revision.epoch == 0 ? count : std::to_string(revision.epoch) + "." + count;
}

}  // namespace shedlever
