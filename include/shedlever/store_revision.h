#pragma once

/// @file
/// A moment in the history of the metadata store.

#include <compare>
#include <cstdint>
#include <string>

namespace shedlever {

/// Rises by one each time the store comes back from a copy of an earlier state. 0: the store tells none.
using StoreEpoch = std::uint64_t;

/// The store counts its changes. When it comes back from a copy, it counts on from where the copy stood, so that a
/// count says something within one epoch only; of two epochs the later one is newer, whatever the counts.
struct StoreRevision {
  StoreEpoch epoch = 0;
  /// 0: none.
  std::uint64_t count = 0;

  constexpr StoreRevision() = default;
  constexpr StoreRevision(StoreEpoch era_of_it, std::uint64_t count_in_it) : epoch(era_of_it), count(count_in_it) {}
  /// Of a store that tells no epoch.
  constexpr StoreRevision(std::uint64_t count_in_it) : count(count_in_it) {}  // NOLINT(google-explicit-constructor)

  bool none() const { return count == 0; }
  auto operator<=>(const StoreRevision&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, count);
  }
};

/// @return for logs: the count, behind the epoch where there is one, as in `2.115`.
inline std::string toString(const StoreRevision& revision) {
  const std::string count = std::to_string(revision.count);
  return revision.epoch == 0 ? count : std::to_string(revision.epoch) + "." + count;
}

}  // namespace shedlever
