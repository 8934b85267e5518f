#include "source/interface/settings_config_protocol.h"

#include <algorithm>

#include "source/core/settings/settings_routes.h"
#include "source/core/settings/settings_tree.h"

namespace shedlever {

namespace {

constexpr char kDocumentSeparator = '/';
constexpr char kStoreSeparator = '.';

}  // namespace

std::string settingsObjectName(const DocumentName& document) {
  std::string name = document.value;
  std::replace(name.begin(), name.end(), kDocumentSeparator, kStoreSeparator);
  return name;
}

std::optional<DocumentName> documentNameFromObject(const std::string& object) {
  std::string name = object;
  std::replace(name.begin(), name.end(), kStoreSeparator, kDocumentSeparator);
  if (name != kDeploymentDocument && !name.starts_with(kServiceDocumentPrefix)) {
    return std::nullopt;
  }
  return DocumentName(std::move(name));
}

bool SettingsConfigProtocol::isConfigObject(const std::string& name) const {
  return documentNameFromObject(name).has_value();
}

leaf::result<RouterConfig> SettingsConfigProtocol::decode(const ObjectsByName& parts) const {
  std::map<DocumentName, SettingsDocument> documents;
  ConfigVersion version = 0;
  for (const auto& [name, object] : parts) {
    if (const auto document = documentNameFromObject(name)) {
      documents[*document] = {*document, object.revision.count, object.value};
      version = std::max(version, object.revision.count);
    }
  }
  BOOST_LEAF_AUTO(settings, resolveSettings(documents));
  return routerConfigFrom(settings, version);
}

}  // namespace shedlever
