#pragma once

/// @file
/// Case-insensitive comparison of ASCII text, as used for header names and authentication schemes.

#include <string_view>

namespace shedlever {

/// @return whether the texts are equal when the case of ASCII letters is ignored.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

}  // namespace shedlever
