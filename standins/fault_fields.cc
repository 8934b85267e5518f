#include "standins/fault_fields.h"

namespace shedlever::standins {

FaultFields::FaultFields(const nlohmann::json& json) : json_(json) {
  if (!json.is_object()) {
    findings_.add("body", "must be a JSON object");
  }
}

const nlohmann::json* FaultFields::find(const std::string& name) {
  known_.insert(name);
  if (!json_.is_object()) {
    return nullptr;
  }
  const auto found = json_.find(name);
  return found == json_.end() ? nullptr : &*found;
}

void FaultFields::readFlag(const std::string& name, bool& value) {
  const nlohmann::json* field = find(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_boolean()) {
    findings_.add(name, "must be true or false");
    return;
  }
  value = field->get<bool>();
}

void FaultFields::readCount(const std::string& name, std::uint32_t& value) {
  const nlohmann::json* field = find(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_number_unsigned()) {
    findings_.add(name, "must be a whole number, 0 or more");
    return;
  }
  value = field->get<std::uint32_t>();
}

void FaultFields::readMilliseconds(const std::string& name, Duration& value) {
  auto number = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
  readCount(name, number);
  value = std::chrono::milliseconds(number);
}

leaf::result<void> FaultFields::finish() {
  if (json_.is_object()) {
    for (const auto& item : json_.items()) {
      if (!known_.contains(item.key())) {
        findings_.add(item.key(), "is not a fault of this stand-in");
      }
    }
  }
  if (!findings_.empty()) {
    return leaf::new_error(findings_);
  }
  return {};
}

}  // namespace shedlever::standins
