#pragma once

/// @file
/// Compares two JSON documents and lists the differences by JSON pointer.

#include <optional>
#include <string>
#include <vector>

#include "source/core/settings/settings_json.h"

namespace shedlever {

/// One value that differs between two documents.
struct JsonDifference {
  /// JSON pointer to the value.
  std::string pointer;
  /// Value in each document; nothing if the document does not contain it.
  std::optional<Json> before;
  std::optional<Json> after;

  bool operator==(const JsonDifference&) const = default;
};

/// Compares objects by key and arrays by index.
/// @return the differences, ordered by key and index.
std::vector<JsonDifference> diffJson(const Json& before, const Json& after);

/// @return pointers to values that both sets of differences change, directly or through a value that contains them.
std::vector<std::string> overlappingPointers(const std::vector<JsonDifference>& left,
                                             const std::vector<JsonDifference>& right);

/// @return one line per difference: "/slices: 64 -> 32", "/slices: added 32", "/slices: removed 64".
std::string toString(const std::vector<JsonDifference>& differences);

}  // namespace shedlever
