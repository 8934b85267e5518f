#pragma once

/// @file
/// The product's own settings documents as they lie in the metadata store: one object a document.

#include <optional>
#include <string>

#include "shedlever/platform_ports.h"
#include "shedlever/settings.h"

namespace shedlever {

/// Kind of the objects that hold settings documents.
inline constexpr const char* kSettingsKind = "shedlever-settings";

/// @return the object's name; a slash in a document's name can't stand in the store's paths.
std::string settingsObjectName(const DocumentName& document);

/// @return the document's name; nothing when no document is named so.
std::optional<DocumentName> documentNameFromObject(const std::string& object);

class SettingsConfigProtocol final : public ConfigProtocol {
 public:
  std::string kind() const override { return kSettingsKind; }
  bool isConfigObject(const std::string& name) const override;
  /// The version is the highest revision of all parts.
  leaf::result<RouterConfig> decode(const ObjectsByName& parts) const override;
};

}  // namespace shedlever
