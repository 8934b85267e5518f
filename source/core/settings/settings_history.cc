#include "source/core/settings/settings_history.h"

#include <algorithm>

namespace shedlever {

namespace {

constexpr const char* kVersionsKey = "versions";
constexpr const char* kVersionKey = "version";
constexpr const char* kTextKey = "text";

bool isOlder(const HistoryVersion& left, const HistoryVersion& right) { return left.version < right.version; }

std::optional<HistoryVersion> parseVersion(const Json& json) {
  if (!json.is_object() || !json.contains(kVersionKey) || !json.contains(kTextKey) ||
      !json[kVersionKey].is_number_unsigned() || !json[kTextKey].is_string()) {
    return std::nullopt;
  }
  const std::string text = json[kTextKey].get<std::string>();
  return HistoryVersion{json[kVersionKey].get<SettingsVersion>(), changeOf(text), text};
}

}  // namespace

std::optional<SettingsHistory> SettingsHistory::parse(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains(kVersionsKey) || !json[kVersionsKey].is_array()) {
    return std::nullopt;
  }
  SettingsHistory history;
  for (const Json& entry : json[kVersionsKey]) {
    std::optional<HistoryVersion> version = parseVersion(entry);
    if (!version) {
      return std::nullopt;
    }
    history.versions_.push_back(std::move(*version));
  }
  std::sort(history.versions_.begin(), history.versions_.end(), isOlder);
  return history;
}

std::string SettingsHistory::text() const {
  Json entries = Json::array();
  for (const HistoryVersion& version : versions_) {
    entries.push_back({{kVersionKey, version.version}, {kTextKey, version.text}});
  }
  return Json{{kVersionsKey, std::move(entries)}}.dump();
}

void SettingsHistory::record(SettingsVersion version, const std::string& document_text) {
  if (find(version) != nullptr) {
    return;
  }
  versions_.push_back({version, changeOf(document_text), document_text});
  std::sort(versions_.begin(), versions_.end(), isOlder);
  if (versions_.size() > kMaxHistoryVersions) {
    versions_.erase(versions_.begin());
  }
}

const HistoryVersion* SettingsHistory::find(SettingsVersion version) const {
  for (const HistoryVersion& entry : versions_) {
    if (entry.version == version) {
      return &entry;
    }
  }
  return nullptr;
}

const HistoryVersion* SettingsHistory::findChange(const std::string& change_id) const {
  for (const HistoryVersion& entry : versions_) {
    if (!change_id.empty() && entry.change.id == change_id) {
      return &entry;
    }
  }
  return nullptr;
}

}  // namespace shedlever
