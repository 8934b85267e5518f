#pragma once

/// @file
/// Comparison of ASCII text without regard to case, as header names and authentication schemes are compared.

#include <string_view>

namespace shedlever {

/// @return whether the texts differ at most in the case of ASCII letters.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

}  // namespace shedlever
