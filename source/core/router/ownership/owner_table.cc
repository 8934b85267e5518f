#include "source/core/router/ownership/owner_table.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace shedlever {

using nlohmann::json;

namespace {

/// Tokens of one epoch are lower than those of the next; fewer than 2^32 are used per epoch.
constexpr unsigned kEpochTokenBits = 32;

}  // namespace

void OwnerTable::beginChange(StoreEpoch epoch) {
  if (epoch > epoch_) {
    epoch_ = epoch;
    last_token_ = std::max(last_token_, epoch << kEpochTokenBits);
  }
  ++changes_;
}

OwnerTable OwnerTable::divideEvenly(const std::vector<OwnerLocation>& locations, std::uint32_t ranges_per_server,
                                    StoreEpoch epoch) {
  OwnerTable table;
  table.beginChange(epoch);
  const auto count = static_cast<std::uint32_t>(locations.size()) * ranges_per_server;
  for (std::uint32_t i = 0; i < count; ++i) {
    OwnedRange range;
    range.keys.first = static_cast<Key>(kKeyCount * i / count);
    range.keys.last = static_cast<Key>(kKeyCount * (i + 1) / count - 1);
    range.owner = locations[i % locations.size()].instance;
    range.node = locations[i % locations.size()].node;
    range.token = ++table.last_token_;
    table.ranges_.push_back(range);
  }
  return table;
}

std::optional<OwnerTable> OwnerTable::assemble(FenceToken last_token, StoreEpoch epoch, std::uint64_t changes,
                                               std::vector<OwnedRange> ranges) {
  std::uint32_t next_key = 0;
  for (const OwnedRange& range : ranges) {
    if (range.keys.first != next_key || range.keys.last < range.keys.first) {
      return std::nullopt;
    }
    next_key = std::uint32_t{range.keys.last} + 1;
  }
  if (next_key != kKeyCount) {
    return std::nullopt;
  }
  OwnerTable table;
  table.last_token_ = last_token;
  table.epoch_ = epoch;
  table.changes_ = changes;
  table.ranges_ = std::move(ranges);
  return table;
}

const OwnedRange* OwnerTable::find(Key key) const {
  const auto after = std::upper_bound(ranges_.begin(), ranges_.end(), key,
                                      [](Key wanted, const OwnedRange& range) { return wanted < range.keys.first; });
  return after == ranges_.begin() ? nullptr : &*std::prev(after);
}

std::vector<OwnedRange> OwnerTable::ownedBy(const InstanceId& owner) const {
  std::vector<OwnedRange> owned;
  std::copy_if(ranges_.begin(), ranges_.end(), std::back_inserter(owned),
               [&](const OwnedRange& range) { return range.owner == owner; });
  return owned;
}

std::vector<OwnedRange> OwnerTable::ownedAt(const NodeName& node) const {
  std::vector<OwnedRange> owned;
  std::copy_if(ranges_.begin(), ranges_.end(), std::back_inserter(owned),
               [&](const OwnedRange& range) { return range.node == node; });
  return owned;
}

OwnedRange* OwnerTable::splitOff(const KeyRange& keys) {
  const auto found = std::find_if(ranges_.begin(), ranges_.end(), [&](const OwnedRange& range) {
    return range.keys.first <= keys.first && keys.last <= range.keys.last;
  });
  if (found == ranges_.end() || keys.last < keys.first) {
    return nullptr;
  }
  const OwnedRange whole = *found;
  std::vector<OwnedRange> parts;
  if (whole.keys.first < keys.first) {
    parts.push_back(whole);
    parts.back().keys.last = static_cast<Key>(keys.first - 1);
  }
  parts.push_back(whole);
  parts.back().keys = keys;
  if (keys.last < whole.keys.last) {
    parts.push_back(whole);
    parts.back().keys.first = static_cast<Key>(keys.last + 1);
  }
  const auto position = ranges_.erase(found);
  ranges_.insert(position, parts.begin(), parts.end());
  return findExact(keys);
}

std::optional<OwnedRange> OwnerTable::beginRelease(const KeyRange& keys, const InstanceId& owner) {
  const OwnedRange* containing = find(keys.first);
  if (containing == nullptr || containing->owner != owner || containing->releasing) {
    return std::nullopt;
  }
  OwnedRange* range = splitOff(keys);
  if (range == nullptr) {
    return std::nullopt;
  }
  range->releasing = true;
  return *range;
}

OwnedRange* OwnerTable::findExact(const KeyRange& keys) {
  const auto found =
      std::find_if(ranges_.begin(), ranges_.end(), [&](const OwnedRange& range) { return range.keys == keys; });
  return found == ranges_.end() ? nullptr : &*found;
}

FenceToken OwnerTable::nextTokenAfter(const OwnedRange& range) {
  // The token after the current one is reserved for the release.
  last_token_ = std::max(last_token_, range.token + 1) + 1;
  return last_token_;
}

void OwnerTable::abortRelease(const KeyRange& keys) {
  OwnedRange* range = findExact(keys);
  if (range != nullptr && range->releasing) {
    range->releasing = false;
    range->token = nextTokenAfter(*range);
  }
}

bool OwnerTable::assign(const KeyRange& keys, const OwnerLocation& location, const std::string& handover,
                        std::uint32_t rate) {
  OwnedRange* range = findExact(keys);
  if (range == nullptr) {
    return false;
  }
  range->token = nextTokenAfter(*range);
  range->owner = location.instance;
  range->node = location.node;
  range->handover = handover;
  range->releasing = false;
  range->rate = rate;
  return true;
}

namespace {

bool canMerge(const OwnedRange& left, const OwnedRange& right, const InstanceId& owner) {
  const bool same = left.owner == owner && right.owner == owner && left.node == right.node;
  return same && !left.releasing && !right.releasing;
}

}  // namespace

bool OwnerTable::hasMergeableRanges(const InstanceId& owner) const {
  const auto mergeable = [&owner](const OwnedRange& left, const OwnedRange& right) {
    return canMerge(left, right, owner);
  };
  return std::adjacent_find(ranges_.begin(), ranges_.end(), mergeable) != ranges_.end();
}

bool OwnerTable::mergeAdjacentRanges(const InstanceId& owner) {
  bool merged = false;
  for (std::size_t i = 0; i + 1 < ranges_.size();) {
    OwnedRange& left = ranges_[i];
    const OwnedRange& right = ranges_[i + 1];
    if (!canMerge(left, right, owner)) {
      ++i;
      continue;
    }
    left.keys.last = right.keys.last;
    left.token = std::max(left.token, right.token);
    left.token = nextTokenAfter(left);
    left.handover.clear();
    left.rate = 0;
    ranges_.erase(ranges_.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    merged = true;
  }
  return merged;
}

namespace {

/// List of the owners, so that each range refers to its owner by a short number.
class OwnerList {
 public:
  /// @return the number of the owner in the list, from 1; 0 if the range has no owner.
  std::size_t numberOf(const OwnedRange& range) {
    if (range.owner.empty()) {
      return 0;
    }
    const auto [known, inserted] = numbers_.try_emplace({range.owner, range.node}, numbers_.size() + 1);
    if (inserted) {
      list_.push_back({range.owner.value, range.node.value});
    }
    return known->second;
  }

  json take() { return std::move(list_); }

 private:
  std::map<OwnerLocation, std::size_t> numbers_;
  json list_ = json::array();
};

}  // namespace

// Many nodes read every change of the table over links that may be slow, so the format is compact: a range is an array
// of its first key, its owner's number, its token and, only as far as needed, handover, releasing (0 or 1) and rate.
std::string OwnerTable::encode() const {
  OwnerList owners;
  json list = json::array();
  for (const OwnedRange& range : ranges_) {
    json entry = {range.keys.first, owners.numberOf(range), range.token};
    if (!range.handover.empty() || range.releasing || range.rate != 0) {
      entry.push_back(range.handover);
    }
    if (range.releasing || range.rate != 0) {
      entry.push_back(range.releasing ? 1 : 0);
    }
    if (range.rate != 0) {
      entry.push_back(range.rate);
    }
    list.push_back(std::move(entry));
  }
  return json{{"last_token", last_token_},
              {"era", epoch_},
              {"changes", changes_},
              {"owners", owners.take()},
              {"ranges", std::move(list)}}
      // A handover may hold any bytes; one that is no UTF-8 text must not end the process.
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

namespace {

OwnedRange decodeRange(const json& entry, const std::vector<OwnerLocation>& owners) {
  constexpr std::size_t kHandover = 3;
  constexpr std::size_t kReleasing = 4;
  constexpr std::size_t kRate = 5;
  OwnedRange range;
  range.keys.first = entry.at(0).get<Key>();
  const auto owner = entry.at(1).get<std::size_t>();
  if (owner != 0) {
    const OwnerLocation& location = owners.at(owner - 1);
    range.owner = location.instance;
    range.node = location.node;
  }
  range.token = entry.at(2).get<FenceToken>();
  range.handover = entry.size() > kHandover ? entry.at(kHandover).get<std::string>() : std::string();
  range.releasing = entry.size() > kReleasing && entry.at(kReleasing).get<int>() != 0;
  range.rate = entry.size() > kRate ? entry.at(kRate).get<std::uint32_t>() : 0;
  return range;
}

/// Sets the last key of each range to the one before the next range.
Findings setRangeEnds(std::vector<OwnedRange>& ranges) {
  Findings findings;
  if (ranges.empty() || ranges.front().keys.first != 0) {
    findings.add("ranges", "must begin with key 0");
    return findings;
  }
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    const std::uint32_t end = i + 1 < ranges.size() ? ranges[i + 1].keys.first : kKeyCount;
    if (end <= ranges[i].keys.first) {
      findings.add("ranges/" + std::to_string(i), "must begin before the next one");
      return findings;
    }
    ranges[i].keys.last = static_cast<Key>(end - 1);
  }
  return findings;
}

}  // namespace

leaf::result<OwnerTable> OwnerTable::decode(const std::string& text) {
  OwnerTable table;
  try {
    const json document = json::parse(text);
    table.last_token_ = document.at("last_token").get<FenceToken>();
    table.epoch_ = document.value("era", StoreEpoch{0});
    table.changes_ = document.value("changes", std::uint64_t{0});
    std::vector<OwnerLocation> owners;
    for (const json& owner : document.at("owners")) {
      owners.push_back({InstanceId(owner.at(0).get<std::string>()), NodeName(owner.at(1).get<std::string>())});
    }
    for (const json& entry : document.at("ranges")) {
      table.ranges_.push_back(decodeRange(entry, owners));
    }
  } catch (const std::exception& error) {
    Findings findings;
    findings.add("owner table", error.what());
    return leaf::new_error(std::move(findings));
  }
  Findings findings = setRangeEnds(table.ranges_);
  if (!findings.empty()) {
    return leaf::new_error(std::move(findings));
  }
  return table;
}

}  // namespace shedlever
