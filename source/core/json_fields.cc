#include "source/core/json_fields.h"

namespace shedlever {

namespace {

const nlohmann::json* fieldOf(const nlohmann::json& object, const char* name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

}  // namespace

std::optional<nlohmann::json> parseObject(std::string_view text) {
  nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  return parsed;
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
