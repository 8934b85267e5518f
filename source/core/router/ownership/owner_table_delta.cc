#include "source/core/router/ownership/owner_table_delta.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace shedlever {

namespace {

constexpr std::uint32_t kSegmentCount = 256;
constexpr std::uint32_t kKeysPerSegment = kKeyCount / kSegmentCount;

std::uint32_t segmentOf(Key key) { return key / kKeysPerSegment; }

std::uint64_t hashOf(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hashOf(std::uint64_t number, std::uint64_t seed) {
  return XXH3_64bits_withSeed(&number, sizeof(number), seed);
}

std::uint64_t hashOf(const OwnedRange& range, std::uint64_t seed) {
  std::uint64_t hash = seed;
  for (const std::uint64_t number : {std::uint64_t{range.keys.first}, std::uint64_t{range.keys.last}, range.token,
                                     std::uint64_t{range.releasing}, std::uint64_t{range.rate}}) {
    hash = hashOf(number, hash);
  }
  hash = hashOf(range.owner.value, hash);
  // The encoding of a table contains no node for a range without an owner.
  if (!range.owner.empty()) {
    hash = hashOf(range.node.value, hash);
  }
  return hashOf(range.handover, hash);
}

std::uint64_t checksumOf(const OwnerTable& table) { return hashOf(table.encode(), 0); }

/// @return whether any segment that the range overlaps has different hashes in the two digests of the same size.
bool overlapsDifference(const OwnedRange& range, const OwnerTableDigest& left, const OwnerTableDigest& right) {
  const std::uint32_t end = segmentOf(range.keys.last) + 1;
  for (std::uint32_t segment = segmentOf(range.keys.first); segment < end; ++segment) {
    if (left[segment] != right[segment]) {
      return true;
    }
  }
  return false;
}

/// The owners of a delta, numbered from 1.
class DeltaOwners {
 public:
  std::uint32_t numberOf(const OwnedRange& range) {
    if (range.owner.empty()) {
      return 0;
    }
    const auto next = static_cast<std::uint32_t>(owners_.size() + 1);
    const auto [known, inserted] = numbers_.try_emplace({range.owner, range.node}, next);
    if (inserted) {
      owners_.push_back({range.owner, range.node});
    }
    return known->second;
  }

  std::vector<DeltaOwner> take() { return std::move(owners_); }

 private:
  std::map<OwnerLocation, std::uint32_t> numbers_;
  std::vector<DeltaOwner> owners_;
};

/// @return the ranges of the delta; none if one has an invalid owner or end.
std::optional<std::vector<OwnedRange>> rangesOf(const OwnerTableDeltaFrame& delta) {
  std::vector<OwnedRange> ranges;
  for (const DeltaRange& entry : delta.ranges) {
    if (entry.owner > delta.owners.size() || entry.last < entry.first) {
      return std::nullopt;
    }
    OwnedRange& range = ranges.emplace_back();
    range.keys = {entry.first, entry.last};
    if (entry.owner != 0) {
      const DeltaOwner& owner = delta.owners[entry.owner - 1];
      range.owner = owner.instance;
      range.node = owner.node;
    }
    range.token = entry.token;
    range.handover = entry.handover;
    range.releasing = entry.releasing;
    range.rate = entry.rate;
  }
  return ranges;
}

bool overlap(const KeyRange& left, const KeyRange& right) {
  return left.first <= right.last && right.first <= left.last;
}

/// @param changed sorted by key.
/// @return `changed` and the ranges of `earlier` that overlap none of them, sorted by key.
std::vector<OwnedRange> replaceOverlapping(const std::vector<OwnedRange>& earlier, std::vector<OwnedRange> changed) {
  std::vector<OwnedRange> ranges;
  auto next = changed.begin();
  for (const OwnedRange& range : earlier) {
    next = std::find_if(next, changed.end(),
                        [&range](const OwnedRange& entry) { return entry.keys.last >= range.keys.first; });
    if (next == changed.end() || !overlap(next->keys, range.keys)) {
      ranges.push_back(range);
    }
  }
  std::move(changed.begin(), changed.end(), std::back_inserter(ranges));
  std::sort(ranges.begin(), ranges.end(),
            [](const OwnedRange& left, const OwnedRange& right) { return left.keys < right.keys; });
  return ranges;
}

}  // namespace

OwnerTableDigest digestOf(const OwnerTable& table) {
  if (table.ranges().empty()) {
    return {};
  }
  std::vector<std::uint64_t> hashes(kSegmentCount, 0);
  for (const OwnedRange& range : table.ranges()) {
    const std::uint32_t end = segmentOf(range.keys.last) + 1;
    for (std::uint32_t segment = segmentOf(range.keys.first); segment < end; ++segment) {
      hashes[segment] = hashOf(range, hashes[segment]);
    }
  }
  OwnerTableDigest digest;
  std::transform(hashes.begin(), hashes.end(), std::back_inserter(digest),
                 [](std::uint64_t hash) { return static_cast<std::uint16_t>(hash); });
  return digest;
}

OwnerTableDeltaFrame makeDelta(const OwnerTable& table, const OwnerTableDigest& known) {
  const OwnerTableDigest digest = digestOf(table);
  const bool comparable = digest.size() == known.size();
  OwnerTableDeltaFrame delta;
  DeltaOwners owners;
  for (const OwnedRange& range : table.ranges()) {
    if (!comparable || overlapsDifference(range, digest, known)) {
      delta.ranges.push_back({range.keys.first, range.keys.last, owners.numberOf(range), range.token, range.handover,
                              range.releasing, range.rate});
    }
  }
  delta.owners = owners.take();
  delta.last_token = table.lastToken();
  delta.epoch = table.epoch();
  delta.changes = table.changes();
  delta.checksum = checksumOf(table);
  return delta;
}

std::optional<OwnerTable> applyDelta(const OwnerTable& earlier, const OwnerTableDeltaFrame& delta) {
  auto changed = rangesOf(delta);
  if (!changed) {
    return std::nullopt;
  }
  auto table = OwnerTable::assemble(delta.last_token, delta.epoch, delta.changes,
                                    replaceOverlapping(earlier.ranges(), std::move(*changed)));
  if (!table || checksumOf(*table) != delta.checksum) {
    return std::nullopt;
  }
  return table;
}

}  // namespace shedlever
