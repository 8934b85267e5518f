#include "source/net/http_syntax.h"

#include <algorithm>

namespace shedlever {

namespace {

constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
constexpr char kDelete = 0x7F;

constexpr bool isLetterOrDigit(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9');
}

bool isTokenCharacter(char character) {
  return isLetterOrDigit(character) || kTokenMarks.find(character) != std::string_view::npos;
}

bool isTextCharacter(char character) {
  // Bytes above 127 are allowed; they are negative where `char` is signed.
  const auto byte = static_cast<unsigned char>(character);
  return character == '\t' || (byte >= ' ' && character != kDelete);
}

}  // namespace

bool isHttpToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isHttpText(std::string_view text) { return std::all_of(text.begin(), text.end(), isTextCharacter); }

}  // namespace shedlever
