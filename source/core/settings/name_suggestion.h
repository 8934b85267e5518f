#pragma once

/// @file
/// Suggests the known name that a mistyped one is nearest to.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedlever {

/// @return the known name with the fewest edits from `given` (Levenshtein); nothing when all are too far
/// off to be a slip of the keys.
std::optional<std::string> nearestName(std::string_view given, const std::vector<std::string_view>& known);

/// @return " Did you mean \"NAME\"?", or nothing when no known name is near.
std::string didYouMean(std::string_view given, const std::vector<std::string_view>& known);

}  // namespace shedlever
