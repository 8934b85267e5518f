#include "source/core/json_fields.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace shedlever {

namespace {

const nlohmann::json* fieldOf(const nlohmann::json& object, const char* name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

/// Calls `on_text` for each part of the JSON text outside of strings and `on_string` for each string, in their order.
template <class OnText, class OnString>
void splitAtStrings(std::string_view text, OnText on_text, OnString on_string) {
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t quote = std::min(text.find('"', at), text.size());
    on_text(text.substr(at, quote - at));
    std::size_t end = quote + 1;
    while (end < text.size() && text[end] != '"') {
      end += text[end] == '\\' ? 2 : 1;
    }
    end = std::min(end + 1, text.size());
    if (quote < text.size()) {
      on_string(text.substr(quote, end - quote));
    }
    at = end;
  }
}

/// @return how deep the arrays and objects in the text are nested.
std::size_t depthOf(std::string_view text) {
  std::size_t depth = 0;
  std::size_t deepest = 0;
  const auto count = [&](std::string_view part) {
    for (const char letter : part) {
      if (letter == '[' || letter == '{') {
        deepest = std::max(deepest, ++depth);
      } else if ((letter == ']' || letter == '}') && depth > 0) {
        --depth;
      }
    }
  };
  splitAtStrings(text, count, [](std::string_view) {});
  return deepest;
}

/// @return whether the text is a number whose value exceeds the range of a floating-point number.
bool isNumberOutOfRange(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc::result_out_of_range && end == text.data() + text.size();
}

/// @return the text with null in the place of each number that is out of range.
std::string withoutNumbersOutOfRange(std::string_view text) {
  constexpr std::string_view kNumberLetters = "+-.0123456789eE";
  std::string result;
  const auto append = [&](std::string_view part) {
    for (std::size_t at = 0; at < part.size();) {
      const std::size_t start = std::min(part.find_first_of(kNumberLetters, at), part.size());
      const std::size_t end = std::min(part.find_first_not_of(kNumberLetters, start), part.size());
      const std::string_view number = part.substr(start, end - start);
      result.append(part.substr(at, start - at));
      result.append(isNumberOutOfRange(number) ? "null" : number);
      at = end;
    }
  };
  splitAtStrings(text, append, [&result](std::string_view string) { result.append(string); });
  return result;
}

}  // namespace

std::optional<nlohmann::json> parseObject(std::string_view text) {
  return depthOf(text) > kMaxJsonDepth ? std::nullopt : parseObjectOfEntries(text);
}

std::optional<nlohmann::json> parseObjectOfEntries(std::string_view text) {
  nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    parsed = nlohmann::json::parse(withoutNumbersOutOfRange(text), nullptr, false);
  }
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  return parsed;
}

bool isNestedTooDeeply(const nlohmann::json& value) {
  struct Level {
    const nlohmann::json* value;
    std::size_t depth;
  };
  std::vector<Level> open = {{&value, 0}};
  while (!open.empty()) {
    const Level level = open.back();
    open.pop_back();
    if (!level.value->is_structured()) {
      continue;
    }
    if (level.depth >= kMaxJsonDepth) {
      return true;
    }
    for (const nlohmann::json& inner : *level.value) {
      open.push_back({&inner, level.depth + 1});
    }
  }
  return false;
}

std::optional<std::string> stringField(const nlohmann::json& object, const char* name) {
  const nlohmann::json* field = fieldOf(object, name);
  if (field == nullptr || !field->is_string()) {
    return std::nullopt;
  }
  return field->get<std::string>();
}

std::optional<std::uint64_t> numberField(const nlohmann::json& object, const char* name) {
  const nlohmann::json* field = fieldOf(object, name);
  if (field == nullptr || !field->is_number_unsigned()) {
    return std::nullopt;
  }
  return field->get<std::uint64_t>();
}

std::optional<bool> boolField(const nlohmann::json& object, const char* name) {
  const nlohmann::json* field = fieldOf(object, name);
  if (field == nullptr || !field->is_boolean()) {
    return std::nullopt;
  }
  return field->get<bool>();
}

const nlohmann::json* arrayField(const nlohmann::json& object, const char* name) {
  const nlohmann::json* field = fieldOf(object, name);
  return field != nullptr && field->is_array() ? field : nullptr;
}

}  // namespace shedlever
