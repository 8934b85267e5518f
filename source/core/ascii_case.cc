#include "source/core/ascii_case.h"

#include <algorithm>

namespace shedlever {

namespace {

char lowerCase(char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter; }

}  // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return lowerCase(a) == lowerCase(b); });
}

bool isVisibleAscii(std::string_view text) {
  constexpr char kFirst = '!';
  constexpr char kLast = '~';
  return std::all_of(text.begin(), text.end(), [](char letter) { return letter >= kFirst && letter <= kLast; });
}

}  // namespace shedlever
