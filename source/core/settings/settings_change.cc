#include "source/core/settings/settings_change.h"

#include "source/core/settings/settings_documents.h"

namespace shedlever {

namespace {

constexpr const char* kId = "id";
constexpr const char* kAuthor = "author";
constexpr const char* kAt = "at";
constexpr const char* kBaseVersion = "base_version";
constexpr int kIndent = 2;

std::string textMember(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

ChangeInfo changeOf(const std::string& text) {
  const Json document = Json::parse(text, nullptr, false);
  if (!document.is_object() || !document.contains(kChangeKey) || !document[kChangeKey].is_object()) {
    return {};
  }
  const Json& json = document[kChangeKey];
  ChangeInfo change{textMember(json, kId), textMember(json, kAuthor), textMember(json, kAt), 0};
  const auto base = json.find(kBaseVersion);
  if (base != json.end() && base->is_number_unsigned()) {
    change.base_version = base->get<SettingsVersion>();
  }
  return change;
}

Json contentOf(const std::string& text) {
  Json document = Json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return nullptr;
  }
  document.erase(kChangeKey);
  return document;
}

std::string withChange(const std::string& text, const ChangeInfo& change) {
  nlohmann::ordered_json document = nlohmann::ordered_json::parse(text);
  document.erase(kChangeKey);
  nlohmann::ordered_json changed;
  changed[kChangeKey] = {
      {kId, change.id}, {kAuthor, change.author}, {kAt, change.changed_at}, {kBaseVersion, change.base_version}};
  changed.update(document);
  return changed.dump(kIndent) + "\n";
}

}  // namespace shedlever
