#pragma once

/// @file
/// Who changed a settings document last, and from which version. Stands inside the stored text, so that
/// after a lost answer a writer recognises its own write.

#include <string>

#include "shedlever/settings.h"
#include "source/core/settings/settings_json.h"

namespace shedlever {

/// One change of one document.
struct ChangeInfo {
  /// Unique; drawn by the writer. Empty when the document was not written by `config apply`.
  std::string id;
  std::string author;
  /// UTC, "2026-12-02T07:26:00Z".
  std::string changed_at;
  /// The version that this change replaced; 0 when it made the document.
  SettingsVersion base_version = 0;
  auto operator<=>(const ChangeInfo&) const = default;
};

/// @return the change that a document carries; all empty when it carries none or a damaged one.
ChangeInfo changeOf(const std::string& text);

/// @return the document without its change, members sorted; null when the text is no JSON object.
Json contentOf(const std::string& text);

/// @param text a JSON object.
/// @return the same document carrying `change` as its first member, members in the order given.
std::string withChange(const std::string& text, const ChangeInfo& change);

}  // namespace shedlever
