#include "source/core/settings/settings_diff.h"

#include <set>

namespace shedlever {

namespace {

void compareValues(const Json::json_pointer& pointer, const Json& before, const Json& after,
                   std::vector<JsonDifference>& differences);

/// Compares a member that may be missing on one side.
void compareMember(const Json::json_pointer& pointer, const Json* before, const Json* after,
                   std::vector<JsonDifference>& differences) {
  if (before != nullptr && after != nullptr) {
    compareValues(pointer, *before, *after, differences);
    return;
  }
  JsonDifference difference{pointer.to_string(), std::nullopt, std::nullopt};
  if (before != nullptr) {
    difference.before = *before;
  }
  if (after != nullptr) {
    difference.after = *after;
  }
  differences.push_back(std::move(difference));
}

const Json* memberOf(const Json& object, const std::string& key) {
  const auto found = object.find(key);
  return found == object.end() ? nullptr : &*found;
}

void compareObjects(const Json::json_pointer& pointer, const Json& before, const Json& after,
                    std::vector<JsonDifference>& differences) {
  std::set<std::string> keys;
  for (const Json* side : {&before, &after}) {
    for (const auto& [key, value] : side->items()) {
      keys.insert(key);
    }
  }
  for (const std::string& key : keys) {
    compareMember(pointer / key, memberOf(before, key), memberOf(after, key), differences);
  }
}

void compareLists(const Json::json_pointer& pointer, const Json& before, const Json& after,
                  std::vector<JsonDifference>& differences) {
  for (std::size_t i = 0; i < std::max(before.size(), after.size()); ++i) {
    const Json* left = i < before.size() ? &before[i] : nullptr;
    const Json* right = i < after.size() ? &after[i] : nullptr;
    compareMember(pointer / i, left, right, differences);
  }
}

void compareValues(const Json::json_pointer& pointer, const Json& before, const Json& after,
                   std::vector<JsonDifference>& differences) {
  if (before.is_object() && after.is_object()) {
    compareObjects(pointer, before, after, differences);
  } else if (before.is_array() && after.is_array()) {
    compareLists(pointer, before, after, differences);
  } else if (before != after) {
    differences.push_back({pointer.to_string(), before, after});
  }
}

/// @return whether `inner` equals `outer` or points to a value inside it.
bool isWithin(const std::string& inner, const std::string& outer) {
  return inner.compare(0, outer.size(), outer) == 0 && (inner.size() == outer.size() || inner[outer.size()] == '/');
}

std::string jsonText(const Json& value) { return value.dump(-1, ' ', false, Json::error_handler_t::replace); }

}  // namespace

std::vector<JsonDifference> diffJson(const Json& before, const Json& after) {
  std::vector<JsonDifference> differences;
  compareValues(Json::json_pointer(), before, after, differences);
  return differences;
}

std::vector<std::string> overlappingPointers(const std::vector<JsonDifference>& left,
                                             const std::vector<JsonDifference>& right) {
  std::set<std::string> pointers;
  for (const JsonDifference& ours : left) {
    for (const JsonDifference& theirs : right) {
      if (isWithin(ours.pointer, theirs.pointer) || isWithin(theirs.pointer, ours.pointer)) {
        pointers.insert(ours.pointer.size() > theirs.pointer.size() ? ours.pointer : theirs.pointer);
      }
    }
  }
  return {pointers.begin(), pointers.end()};
}

std::string toString(const std::vector<JsonDifference>& differences) {
  std::string text;
  for (const JsonDifference& difference : differences) {
    text += (difference.pointer.empty() ? "/" : difference.pointer) + ": ";
    if (difference.before && difference.after) {
      text += jsonText(*difference.before) + " -> " + jsonText(*difference.after);
    } else if (difference.before) {
      text += "removed " + jsonText(*difference.before);
    } else {
      text += "added " + jsonText(difference.after.value_or(nullptr));
    }
    text += "\n";
  }
  return text;
}

}  // namespace shedlever
