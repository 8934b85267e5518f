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

}  // namespace shedlever
