#include <algorithm>
#include <cctype>
#include <chrono>
#include <cmath>
#include <sstream>

#include "source/core/settings/settings_field.h"

namespace shedlever {

namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxTextLength = 256;
constexpr std::size_t kSha256Digits = 64;
constexpr double kMicrosecondsPerMs = 1000.0;

/// @return the number without trailing zeros, e.g. "0.1", "450", "86400000".
std::string numberText(double number) {
  std::ostringstream text;
  text.precision(12);
  text << number;
  return text.str();
}

std::string rangeText(const FieldLimits& limits) {
  return numberText(limits.minimum) + " to " + numberText(limits.maximum);
}

bool inRange(double number, const FieldLimits& limits) {
  return std::isfinite(number) && number >= limits.minimum && number <= limits.maximum;
}

std::string mismatchMessage(const std::string& expected, const Json& given) {
  constexpr std::size_t kMaxShownLength = 60;
  std::string text = given.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() > kMaxShownLength) {
    text = std::string("a long ") + given.type_name();
  }
  return "must be " + expected + ", not " + text + ".";
}

bool isLowerAlphanumeric(char character) {
  return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool isName(std::string_view text) {
  const auto allowed = [](char character) { return isLowerAlphanumeric(character) || character == '-'; };
  return !text.empty() && text.size() <= kMaxNameLength && text.front() != '-' && text.back() != '-' &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool isPath(std::string_view text) {
  const auto allowed = [](char character) {
    return std::isgraph(static_cast<unsigned char>(character)) != 0 && character != '?' && character != '#';
  };
  return !text.empty() && text.size() <= kMaxTextLength && text.front() == '/' &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool isPathPrefix(std::string_view text) { return isPath(text) && text.back() == '/'; }

bool isHeaderName(std::string_view text) {
  constexpr std::string_view kOtherCharacters = "!#$%&'*+-.^_`|~";
  const auto allowed = [&](char character) {
    return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
           kOtherCharacters.find(character) != std::string_view::npos;
  };
  return text.size() <= kMaxTextLength && std::all_of(text.begin(), text.end(), allowed);
}

bool isSha256(std::string_view text) {
  const auto allowed = [](char character) {
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
  };
  return text.size() == kSha256Digits && std::all_of(text.begin(), text.end(), allowed);
}

std::string ruleText(TextRule rule) {
  switch (rule) {
    case TextRule::Name:
      return "a name of lower-case letters, digits and inner hyphens, at most 63";
    case TextRule::PathPrefix:
      return "a path that begins and ends with \"/\"";
    case TextRule::Path:
      return "a path that begins with \"/\"";
    case TextRule::HeaderName:
      return "the name of an HTTP header";
    case TextRule::Sha256:
      return "a SHA-256 as 64 lower-case hex digits";
  }
  return "text";
}

}  // namespace

bool matchesRule(std::string_view text, TextRule rule) {
  switch (rule) {
    case TextRule::Name:
      return isName(text);
    case TextRule::PathPrefix:
      return isPathPrefix(text);
    case TextRule::Path:
      return isPath(text);
    case TextRule::HeaderName:
      return isHeaderName(text);
    case TextRule::Sha256:
      return isSha256(text);
  }
  return false;
}

std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, bool& target) {
  if (!value.is_boolean()) {
    return mismatchMessage(describeType(limits, target), value);
  }
  target = value.get<bool>();
  return std::nullopt;
}

std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, std::uint32_t& target) {
  if (!value.is_number_integer() || !inRange(value.get<double>(), limits)) {
    return mismatchMessage(describeType(limits, target), value);
  }
  target = value.get<std::uint32_t>();
  return std::nullopt;
}

std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, double& target) {
  if (!value.is_number() || !inRange(value.get<double>(), limits)) {
    return mismatchMessage(describeType(limits, target), value);
  }
  target = value.get<double>();
  return std::nullopt;
}

std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, Duration& target) {
  if (!value.is_number() || !inRange(value.get<double>(), limits)) {
    return mismatchMessage(describeType(limits, target), value);
  }
  target = Duration(std::llround(value.get<double>() * kMicrosecondsPerMs));
  return std::nullopt;
}

std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, std::string& target) {
  if (!value.is_string() || !matchesRule(value.get_ref<const std::string&>(), limits.rule)) {
    return mismatchMessage(describeType(limits, target), value);
  }
  target = value.get<std::string>();
  return std::nullopt;
}

std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, TenantName& target) {
  return readValue(value, limits, target.value);
}

std::optional<std::string> readValue(const Json& value, const FieldLimits& limits, KeySource& target) {
  if (value == "path") {
    target = KeySource::Path;
  } else if (value == "header") {
    target = KeySource::Header;
  } else {
    return mismatchMessage(describeType(limits, target), value);
  }
  return std::nullopt;
}

Json writeValue(bool value) { return value; }
Json writeValue(std::uint32_t value) { return value; }
Json writeValue(double value) { return value; }

Json writeValue(Duration value) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(value);
  if (milliseconds == value) {
    return milliseconds.count();
  }
  return static_cast<double>(value.count()) / kMicrosecondsPerMs;
}

Json writeValue(const std::string& value) { return value; }
Json writeValue(const TenantName& value) { return value.value; }
Json writeValue(KeySource value) { return value == KeySource::Path ? "path" : "header"; }

std::string describeType(const FieldLimits&, bool) { return "true or false"; }

std::string describeType(const FieldLimits& limits, std::uint32_t) { return "a whole number, " + rangeText(limits); }

std::string describeType(const FieldLimits& limits, double) { return "a number, " + rangeText(limits); }

std::string describeType(const FieldLimits& limits, Duration) {
  return "a number of milliseconds, " + rangeText(limits);
}

std::string describeType(const FieldLimits& limits, const std::string&) { return ruleText(limits.rule); }

std::string describeType(const FieldLimits& limits, const TenantName&) { return ruleText(limits.rule); }

std::string describeType(const FieldLimits&, KeySource) { return "\"path\" or \"header\""; }

}  // namespace shedlever
