#pragma once

/// @file
/// Reads fields of untrusted JSON.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace shedlever {

/// Values that are nested deeper are not used: code that copies, writes or compares a value is recursive, and the depth
/// of its recursion is that of the value.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// Parses JSON from another writer. Numbers that exceed the range of a floating-point number are read as null.
/// @return the object; none if the text is not a JSON object or is nested deeper than `kMaxJsonDepth`.
std::optional<nlohmann::json> parseObject(std::string_view text);

/// As `parseObject`, for objects that contain entries of several writers and may be nested to any depth. An entry must
/// not be copied or written unless `isNestedTooDeeply` is false for it.
std::optional<nlohmann::json> parseObjectOfEntries(std::string_view text);

/// @return whether the value is nested deeper than `kMaxJsonDepth`.
bool isNestedTooDeeply(const nlohmann::json& value);

/// @return the field's value; none if `object` is not an object, or has no field of this name and type.
std::optional<std::string> stringField(const nlohmann::json& object, const char* name);
std::optional<std::uint64_t> numberField(const nlohmann::json& object, const char* name);
std::optional<bool> boolField(const nlohmann::json& object, const char* name);

/// @return the field if it exists and is an array; null otherwise.
const nlohmann::json* arrayField(const nlohmann::json& object, const char* name);

}  // namespace shedlever
