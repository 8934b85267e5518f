#pragma once

/// @file
/// Suggests the known name that is closest to a mistyped one.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedlever {

/// @return the known name with the smallest edit distance (Levenshtein) from `given`; nothing if none is close enough
/// to be a typing error.
std::optional<std::string> nearestName(std::string_view given, const std::vector<std::string_view>& known);

/// @return " Did you mean \"NAME\"?", or an empty text if no known name is close enough.
std::string didYouMean(std::string_view given, const std::vector<std::string_view>& known);

}  // namespace shedlever
