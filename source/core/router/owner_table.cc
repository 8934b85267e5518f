#include "source/core/router/owner_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shedlever {

using nlohmann::json;

OwnerTable OwnerTable::divide(const std::vector<OwnerPlace>& places) {
  OwnerTable table;
  const auto count = static_cast<std::uint32_t>(places.size());
  for (std::uint32_t i = 0; i < count; ++i) {
    OwnedRange range;
    range.keys.first = static_cast<Key>(kKeyCount * i / count);
    range.keys.last = static_cast<Key>(kKeyCount * (i + 1) / count - 1);
    range.owner = places[i].instance;
    range.node = places[i].node;
    range.token = ++table.last_token_;
    table.ranges_.push_back(range);
  }
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

OwnedRange* OwnerTable::carve(const KeySpan& keys) {
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
  const auto place = ranges_.erase(found);
  ranges_.insert(place, parts.begin(), parts.end());
  return exactly(keys);
}

std::optional<OwnedRange> OwnerTable::beginRelease(const KeySpan& keys, const InstanceId& owner) {
  const OwnedRange* holding = find(keys.first);
  if (holding == nullptr || holding->owner != owner || holding->releasing) {
    return std::nullopt;
  }
  OwnedRange* range = carve(keys);
  if (range == nullptr) {
    return std::nullopt;
  }
  range->releasing = true;
  return *range;
}

OwnedRange* OwnerTable::exactly(const KeySpan& keys) {
  const auto found =
      std::find_if(ranges_.begin(), ranges_.end(), [&](const OwnedRange& range) { return range.keys == keys; });
  return found == ranges_.end() ? nullptr : &*found;
}

FenceToken OwnerTable::tokenAbove(const OwnedRange& range) {
  // One above the token is kept for the release.
  last_token_ = std::max(last_token_, range.token + 1) + 1;
  return last_token_;
}

void OwnerTable::abortRelease(const KeySpan& keys) {
  OwnedRange* range = exactly(keys);
  if (range != nullptr && range->releasing) {
    range->releasing = false;
    range->token = tokenAbove(*range);
  }
}

bool OwnerTable::assign(const KeySpan& keys, const OwnerPlace& place, const std::string& handover) {
  OwnedRange* range = exactly(keys);
  if (range == nullptr) {
    return false;
  }
  range->token = tokenAbove(*range);
  range->owner = place.instance;
  range->node = place.node;
  range->handover = handover;
  range->releasing = false;
  return true;
}

namespace {

bool mayJoin(const OwnedRange& left, const OwnedRange& right, const InstanceId& owner) {
  const bool same = left.owner == owner && right.owner == owner && left.node == right.node;
  return same && !left.releasing && !right.releasing;
}

}  // namespace

bool OwnerTable::hasNeighbours(const InstanceId& owner) const {
  const auto joinable = [&owner](const OwnedRange& left, const OwnedRange& right) {
    return mayJoin(left, right, owner);
  };
  return std::adjacent_find(ranges_.begin(), ranges_.end(), joinable) != ranges_.end();
}

bool OwnerTable::joinNeighbours(const InstanceId& owner) {
  bool joined = false;
  for (std::size_t i = 0; i + 1 < ranges_.size();) {
    OwnedRange& left = ranges_[i];
    const OwnedRange& right = ranges_[i + 1];
    if (!mayJoin(left, right, owner)) {
      ++i;
      continue;
    }
    left.keys.last = right.keys.last;
    left.token = std::max(left.token, right.token);
    left.token = tokenAbove(left);
    left.handover.clear();
    ranges_.erase(ranges_.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    joined = true;
  }
  return joined;
}

std::string OwnerTable::encode() const {
  json list = json::array();
  for (const OwnedRange& range : ranges_) {
    json entry = {{"first", range.keys.first}, {"token", range.token}};
    if (!range.owner.empty()) {
      entry["owner"] = range.owner.value;
      entry["at"] = range.node.value;
    }
    if (!range.handover.empty()) {
      entry["handover"] = range.handover;
    }
    if (range.releasing) {
      entry["releasing"] = true;
    }
    list.push_back(std::move(entry));
  }
  return json{{"last_token", last_token_}, {"ranges", std::move(list)}}.dump();
}

namespace {

OwnedRange rangeFrom(const json& entry) {
  OwnedRange range;
  range.keys.first = entry.at("first").get<Key>();
  range.token = entry.at("token").get<FenceToken>();
  range.owner = InstanceId(entry.value("owner", std::string()));
  range.node = NodeName(entry.value("at", std::string()));
  range.handover = entry.value("handover", std::string());
  range.releasing = entry.value("releasing", false);
  return range;
}

/// Each range ends where the next begins.
Findings closeRanges(std::vector<OwnedRange>& ranges) {
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
    for (const json& entry : document.at("ranges")) {
      table.ranges_.push_back(rangeFrom(entry));
    }
  } catch (const json::exception& error) {
    Findings findings;
    findings.add("owner table", error.what());
    return leaf::new_error(std::move(findings));
  }
  Findings findings = closeRanges(table.ranges_);
  if (!findings.empty()) {
    return leaf::new_error(std::move(findings));
  }
  return table;
}

}  // namespace shedlever
