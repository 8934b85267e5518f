#include "source/interface/request_target.h"

#include <xxhash.h>

#include <algorithm>

#include "source/interface/header_rules.h"

namespace shedlever {

namespace {

/// Bytes per header for ": " and the line end.
constexpr std::size_t kHeaderOverhead = 4;
constexpr int kHexBase = 16;
constexpr int kNoDigit = -1;
constexpr std::size_t kEscapeLength = 3;

int hexDigit(char character) {
  if (character >= '0' && character <= '9') {
    return character - '0';
  }
  constexpr int kTen = 10;
  if (character >= 'a' && character <= 'f') {
    return character - 'a' + kTen;
  }
  if (character >= 'A' && character <= 'F') {
    return character - 'A' + kTen;
  }
  return kNoDigit;
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

bool hasForbiddenByte(std::string_view target) {
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::any_of(target.begin(), target.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte <= kSpace || byte == kDelete;
  });
}

bool hasDotSegment(std::string_view path) {
  while (!path.empty()) {
    const std::size_t slash = std::min(path.find_first_of("/\\"), path.size());
    const std::string_view segment = path.substr(0, slash);
    if (segment == "." || segment == "..") {
      return true;
    }
    path.remove_prefix(std::min(slash + 1, path.size()));
  }
  return false;
}

/// @return the path segment after the service's prefix.
std::string_view keySegment(const ServiceSettings& settings, std::string_view target) {
  std::string_view rest = pathOf(target);
  rest.remove_prefix(std::min(settings.path_prefix.size(), rest.size()));
  if (!settings.path_prefix.ends_with('/') && rest.starts_with('/')) {
    rest.remove_prefix(1);
  }
  return rest.substr(0, rest.find('/'));
}

std::optional<Key> keyFromSegment(std::string_view segment) {
  if (segment.empty()) {
    return std::nullopt;
  }
  if (segment.find('%') == std::string_view::npos) {
    return keyFromText(segment);
  }
  const std::optional<std::string> key = percentDecoded(segment);
  if (!key) {
    return std::nullopt;
  }
  return keyFromText(*key);
}

}  // namespace

Key keyFromText(std::string_view text) {
  constexpr unsigned kDroppedBits = 48;
  return static_cast<Key>(XXH3_64bits(text.data(), text.size()) >> kDroppedBits);
}

std::optional<std::string> percentDecoded(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded.push_back(text[i]);
      continue;
    }
    if (i + kEscapeLength > text.size()) {
      return std::nullopt;
    }
    const int high = hexDigit(text[i + 1]);
    const int low = hexDigit(text[i + 2]);
    if (high == kNoDigit || low == kNoDigit) {
      return std::nullopt;
    }
    decoded.push_back(static_cast<char>(high * kHexBase + low));
    i += kEscapeLength - 1;
  }
  return decoded;
}

bool isSafeTarget(std::string_view target) {
  if (!target.starts_with('/') || hasForbiddenByte(target)) {
    return false;
  }
  const std::string_view path = pathOf(target);
  if (path.find('%') == std::string_view::npos) {
    return path.find('.') == std::string_view::npos || !hasDotSegment(path);
  }
  const std::optional<std::string> decoded = percentDecoded(path);
  return decoded && !hasDotSegment(*decoded);
}

std::optional<Key> requestKey(const ServiceSettings& settings, const HttpRequest& request) {
  if (settings.key_source == KeySource::Path) {
    return keyFromSegment(keySegment(settings, request.target));
  }
  const HeaderLookup header = lookUpHeader(request.headers, settings.key_header);
  // With two headers it is unknown which one the server would use.
  if (header.count != 1 || header.value.empty()) {
    return std::nullopt;
  }
  return keyFromText(header.value);
}

Reason checkLimits(const ServiceSettings& settings, const HttpRequest& request) {
  if (request.body.size() > settings.body_limit) {
    return Reason::TooLarge;
  }
  std::size_t header_bytes = request.method.size() + request.target.size();
  for (const HttpHeader& header : request.headers) {
    header_bytes += header.name.size() + header.value.size() + kHeaderOverhead;
  }
  return header_bytes > settings.header_limit ? Reason::TooLarge : Reason::None;
}

}  // namespace shedlever
