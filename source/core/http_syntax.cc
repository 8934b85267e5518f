#include "source/core/http_syntax.h"

#include <algorithm>

namespace shedlever {

namespace {

constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
constexpr char kDelete = 0x7F;
constexpr std::string_view kVersionPrefix = "HTTP/1.";
/// Length of "HTTP/1.1 ", which precedes the status.
constexpr std::size_t kStatusStart = 9;
constexpr std::size_t kStatusDigits = 3;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kDecimal = 10;

bool isDigit(char character) { return character >= '0' && character <= '9'; }

bool isLetter(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
}

bool isTokenCharacter(char character) {
  return isLetter(character) || isDigit(character) || kTokenMarks.find(character) != std::string_view::npos;
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

std::optional<int> parseHttpStatusLine(std::string_view line) {
  if (!line.starts_with(kVersionPrefix) || line.size() < kStatusStart + kStatusDigits) {
    return std::nullopt;
  }
  const std::string_view digits = line.substr(kStatusStart, kStatusDigits);
  const std::string_view reason = line.substr(kStatusStart + kStatusDigits);
  const bool version_ends = isDigit(line[kVersionPrefix.size()]) && line[kStatusStart - 1] == ' ';
  const bool status_ends = reason.empty() || reason.front() == ' ';
  if (!version_ends || !std::all_of(digits.begin(), digits.end(), isDigit) || !status_ends || !isHttpText(reason)) {
    return std::nullopt;
  }
  int status = 0;
  for (const char digit : digits) {
    status = status * kDecimal + (digit - '0');
  }
  return status >= kFirstStatus && status <= kLastStatus ? std::optional(status) : std::nullopt;
}

bool isValidHttpResponse(const HttpResponse& response) {
  const bool valid_headers =
      std::all_of(response.headers.begin(), response.headers.end(),
                  [](const HttpHeader& header) { return isHttpToken(header.name) && isHttpText(header.value); });
  return valid_headers && response.status >= kFirstFinalStatus && response.status <= kLastStatus;
}

}  // namespace shedlever
