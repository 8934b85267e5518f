#pragma once

/// @file
/// Reads fields of JSON from outside without trusting any of them.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace shedlever {

/// @return the object that the text holds; nothing if it is not a JSON object.
std::optional<nlohmann::json> parseObject(std::string_view text);

/// @return the field's value; nothing if `object` is no object, or has no such field of that type.
std::optional<std::string> stringField(const nlohmann::json& object, const char* name);
std::optional<std::uint64_t> numberField(const nlohmann::json& object, const char* name);
std::optional<bool> boolField(const nlohmann::json& object, const char* name);

/// @return the field if it is an array; null otherwise.
const nlohmann::json* arrayField(const nlohmann::json& object, const char* name);

}  // namespace shedlever
