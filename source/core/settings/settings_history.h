#pragma once

/// @file
/// Earlier versions of a settings document, kept in an object of their own beside it. Whoever replaces a
/// version records it here first, so no version that was ever replaced is missing (up to the bound).

#include <optional>
#include <string>
#include <vector>

#include "shedlever/settings.h"
#include "source/core/settings/settings_change.h"

namespace shedlever {

/// Name in the platform's store: this, then the document's name. Lies outside `kSettingsPrefix`, so that
/// no node reads it as settings.
inline constexpr const char* kHistoryPrefix = "history/";

/// Versions kept of each document.
inline constexpr std::size_t kMaxHistoryVersions = 32;

/// One version of a document with its text as it was stored.
struct HistoryVersion {
  SettingsVersion version = 0;
  ChangeInfo change;
  std::string text;
};

class SettingsHistory {
 public:
  /// @return the history in the text; nothing when it can't be understood.
  static std::optional<SettingsHistory> parse(const std::string& text);

  /// @return the text to be stored.
  std::string text() const;

  /// Records a version; the oldest is dropped beyond `kMaxHistoryVersions`. One that is recorded already stays.
  void record(SettingsVersion version, const std::string& document_text);

  const HistoryVersion* find(SettingsVersion version) const;
  const HistoryVersion* findChange(const std::string& change_id) const;

  /// Ascending.
  const std::vector<HistoryVersion>& versions() const { return versions_; }

 private:
  std::vector<HistoryVersion> versions_;
};

}  // namespace shedlever
