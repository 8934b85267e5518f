#pragma once

/// @file
/// Earlier versions of a settings document, stored in a separate object. A writer records a version here before it
/// replaces that version, so the history contains every replaced version up to `kMaxHistoryVersions`.

#include <optional>
#include <string>
#include <vector>

#include "shedlever/settings.h"
#include "source/core/settings/settings_change.h"

namespace shedlever {

/// Prefix of a history object's name, followed by the document's name. Differs from `kSettingsPrefix`, so that no node
/// reads a history as settings.
inline constexpr const char* kHistoryPrefix = "history/";

/// Maximum number of versions kept per document.
inline constexpr std::size_t kMaxHistoryVersions = 32;

/// One version of a document, with its text as stored.
struct HistoryVersion {
  SettingsVersion version = 0;
  ChangeInfo change;
  std::string text;
};

class SettingsHistory {
 public:
  /// @return the parsed history; nothing if the text is malformed.
  static std::optional<SettingsHistory> parse(const std::string& text);

  /// @return the history as text to be stored.
  std::string text() const;

  /// Records a version unless it is already recorded. Drops the oldest version beyond `kMaxHistoryVersions`.
  void record(SettingsVersion version, const std::string& document_text);

  /// @return the version; null if it is not recorded.
  const HistoryVersion* find(SettingsVersion version) const;
  const HistoryVersion* findChange(const std::string& change_id) const;

  /// In ascending order of versions.
  const std::vector<HistoryVersion>& versions() const { return versions_; }

 private:
  std::vector<HistoryVersion> versions_;
};

}  // namespace shedlever
