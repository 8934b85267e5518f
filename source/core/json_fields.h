#pragma once

/// @file
/// Reads fields of untrusted JSON.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace shedlever {

/// @return the parsed object; none if the text is not a JSON object.
std::optional<nlohmann::json> parseObject(std::string_view text);

/// @return the field's value; none if `object` is not an object, or has no field of this name and type.
std::optional<std::string> stringField(const nlohmann::json& object, const char* name);
std::optional<std::uint64_t> numberField(const nlohmann::json& object, const char* name);
std::optional<bool> boolField(const nlohmann::json& object, const char* name);

/// @return the field if it exists and is an array; null otherwise.
const nlohmann::json* arrayField(const nlohmann::json& object, const char* name);

}  // namespace shedlever
