#include "source/core/settings/name_suggestion.h"

#include <algorithm>
#include <numeric>

namespace shedlever {

namespace {

/// Longer names get no suggestion, which bounds the cost of a comparison.
constexpr std::size_t kMaxNameLength = 64;
/// One edit is allowed for each group of this many characters, plus one.
constexpr std::size_t kCharactersPerEdit = 4;

/// @return whether `given` is `name` without its last parts, such as the unit in "lease_ms".
bool lacksOnlySuffix(std::string_view given, std::string_view name) {
  return name.size() > given.size() + 1 && name.substr(0, given.size()) == given && name[given.size()] == '_';
}

std::size_t editDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t substituted = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({substituted, row[j] + 1, diagonal + 1});
    }
  }
  return row.back();
}

}  // namespace

std::optional<std::string> nearestName(std::string_view given, const std::vector<std::string_view>& known) {
  if (given.size() > kMaxNameLength) {
    return std::nullopt;
  }
  std::size_t best = 2 + given.size() / kCharactersPerEdit;
  std::optional<std::string> nearest;
  for (const std::string_view name : known) {
    const std::size_t distance = lacksOnlySuffix(given, name) ? 1 : editDistance(given, name);
    if (distance < best) {
      best = distance;
      nearest = std::string(name);
    }
  }
  return nearest;
}

std::string didYouMean(std::string_view given, const std::vector<std::string_view>& known) {
  const std::optional<std::string> nearest = nearestName(given, known);
  return nearest ? " Did you mean \"" + *nearest + "\"?" : "";
}

}  // namespace shedlever
