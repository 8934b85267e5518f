#pragma once

/// @file
/// What differs between two JSON documents, by JSON pointer.

#include <optional>
#include <string>
#include <vector>

#include "source/core/settings/settings_json.h"

namespace shedlever {

/// One place at which two documents differ.
struct JsonDifference {
  /// JSON pointer.
  std::string pointer;
  /// The value on either side; nothing where there is none.
  std::optional<Json> before;
  std::optional<Json> after;

  bool operator==(const JsonDifference&) const = default;
};

/// Goes into objects by key and into lists by position. @return the differences in the order of places.
std::vector<JsonDifference> diffJson(const Json& before, const Json& after);

/// @return the places at which both sets of differences touch the same value, or one inside the other.
std::vector<std::string> overlappingPointers(const std::vector<JsonDifference>& left,
                                             const std::vector<JsonDifference>& right);

/// @return one line a difference: "/slices: 64 -> 32", "/slices: added 32", "/slices: removed 64".
std::string toString(const std::vector<JsonDifference>& differences);

}  // namespace shedlever
