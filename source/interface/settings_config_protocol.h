#pragma once

/// @file
/// Decodes the product's own settings documents from the metadata store, where each document is one object.

#include <optional>
#include <string>

#include "shedlever/platform_ports.h"
#include "shedlever/settings.h"

namespace shedlever {

/// Kind of the objects that hold settings documents.
inline constexpr const char* kSettingsKind = "shedlever-settings";

/// @return the object's name, with "." for "/", which paths of the store do not allow in names.
std::string settingsObjectName(const DocumentName& document);

/// @return the document's name; nothing if the object is not a settings document.
std::optional<DocumentName> documentNameFromObject(const std::string& object);

class SettingsConfigProtocol final : public ConfigProtocol {
 public:
  std::string kind() const override { return kSettingsKind; }
  bool isConfigObject(const std::string& name) const override;
  /// The version of the configuration is the highest revision of its parts.
  leaf::result<RouterConfig> decode(const ObjectsByName& parts) const override;
};

}  // namespace shedlever
