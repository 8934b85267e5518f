#pragma once

/// @file
/// ASCII text: case-insensitive comparison, as used for header names and authentication schemes, and its characters.

#include <string_view>

namespace shedlever {

/// @return whether the texts are equal when the case of ASCII letters is ignored.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// @return whether the text consists of ASCII letters, digits and punctuation alone, without blanks.
bool isVisibleAscii(std::string_view text);

}  // namespace shedlever
