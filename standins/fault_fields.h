#pragma once

/// @file
/// Parses the body of a /control/faults call.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "shedlever/errors.h"
#include "shedlever/time.h"

namespace shedlever::standins {

/// Reads the fields that are present and collects findings for wrong types and unknown names.
class FaultFields {
 public:
  /// @param json the body; must outlive this object.
  explicit FaultFields(const nlohmann::json& json);

  /// The read functions leave `value` unchanged if the field is absent or has a wrong type.
  void readFlag(const std::string& name, bool& value);
  void readCount(const std::string& name, std::uint32_t& value);
  void readMilliseconds(const std::string& name, Duration& value);

  /// @return Findings if the body is not an object, a type is wrong or a field is unknown.
  leaf::result<void> finish();

 private:
  const nlohmann::json* find(const std::string& name);

  const nlohmann::json& json_;
  std::set<std::string> known_;
  Findings findings_;
};

}  // namespace shedlever::standins
