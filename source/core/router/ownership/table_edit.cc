#include "source/core/router/ownership/table_edit.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

TableEditEntry makeEntry(TableEditKind kind, const OwnedRange& expected, const KeyRange& keys) {
  TableEditEntry entry;
  entry.kind = kind;
  entry.expected = {expected.keys.first, expected.keys.last, expected.owner, expected.token, expected.releasing};
  entry.first = keys.first;
  entry.last = keys.last;
  return entry;
}

KeyRange keysOf(const TableEditEntry& entry) { return {entry.first, entry.last}; }

/// @return the range that contains all keys of the edit; null if they lie in several ranges or there are none.
const OwnedRange* containingRange(const OwnerTable& table, const TableEditEntry& entry) {
  const OwnedRange* range = entry.first <= entry.last ? table.find(entry.first) : nullptr;
  return range != nullptr && range->keys.contains(entry.last) ? range : nullptr;
}

/// A range under the expected token is the expected range or a part of it.
bool isInExpectedState(const OwnedRange& range, const ExpectedRange& expected) {
  const bool within = expected.first <= range.keys.first && range.keys.last <= expected.last;
  return within && range.owner == expected.owner && range.token == expected.token &&
         range.releasing == expected.releasing;
}

bool applyEntry(const TableEditEntry& entry, OwnerTable& table) {
  const OwnedRange* range = containingRange(table, entry);
  if (range == nullptr || !isInExpectedState(*range, entry.expected)) {
    return false;
  }
  const KeyRange keys = keysOf(entry);
  switch (entry.kind) {
    case TableEditKind::BeginRelease:
      return table.beginRelease(keys, entry.expected.owner).has_value();
    case TableEditKind::AbortRelease:
      if (range->keys != keys || !range->releasing) {
        return false;
      }
      table.abortRelease(keys);
      return true;
    case TableEditKind::Assign:
      return table.splitOff(keys) != nullptr &&
             table.assign(keys, {entry.owner, entry.node}, entry.handover, entry.rate);
  }
  return false;
}

bool entryIsDone(const TableEditEntry& entry, const OwnerTable& table) {
  const OwnedRange* range = containingRange(table, entry);
  if (range == nullptr) {
    return false;
  }
  const bool has_new_token = range->token > entry.expected.token && !range->releasing;
  switch (entry.kind) {
    case TableEditKind::BeginRelease:
      return range->keys == keysOf(entry) && range->owner == entry.expected.owner &&
             range->token == entry.expected.token && range->releasing;
    case TableEditKind::AbortRelease:
      return has_new_token && range->owner == entry.expected.owner;
    case TableEditKind::Assign:
      return has_new_token && range->owner == entry.owner && range->node == entry.node;
  }
  return false;
}

}  // namespace

TableEdit TableEdit::beginRelease(const OwnedRange& expected, const KeyRange& keys) {
  return TableEdit(makeEntry(TableEditKind::BeginRelease, expected, keys));
}

TableEdit TableEdit::abortRelease(const OwnedRange& expected) {
  return TableEdit(makeEntry(TableEditKind::AbortRelease, expected, expected.keys));
}

TableEdit TableEdit::assign(const OwnedRange& expected, const KeyRange& keys, const OwnerLocation& to,
                            const std::string& handover, std::uint32_t rate) {
  TableEditEntry entry = makeEntry(TableEditKind::Assign, expected, keys);
  entry.owner = to.instance;
  entry.node = to.node;
  entry.handover = handover;
  entry.rate = rate;
  return TableEdit(std::move(entry));
}

TableEdit TableEdit::mergeAdjacentRanges(const InstanceId& owner) { return TableEdit(MergeEdit{owner}); }

bool TableEdit::apply(OwnerTable& table) const {
  if (const auto* merge = std::get_if<MergeEdit>(&action_)) {
    return table.mergeAdjacentRanges(merge->owner);
  }
  return applyEntry(std::get<TableEditEntry>(action_), table);
}

bool TableEdit::isDone(const OwnerTable& table) const {
  if (const auto* merge = std::get_if<MergeEdit>(&action_)) {
    return !table.hasMergeableRanges(merge->owner);
  }
  return entryIsDone(std::get<TableEditEntry>(action_), table);
}

KeyRange TableEdit::keys() const {
  const auto* entry = std::get_if<TableEditEntry>(&action_);
  return entry == nullptr ? KeyRange{} : keysOf(*entry);
}

bool isInTable(EditResult result) { return result == EditResult::Written || result == EditResult::AlreadyDone; }

bool anyInTable(const EditResults& results) {
  return std::any_of(results.begin(), results.end(), [](EditResult result) { return isInTable(result); });
}

}  // namespace shedlever
