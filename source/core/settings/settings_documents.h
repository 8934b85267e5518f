#pragma once

/// @file
/// Parsed settings documents, and the lookup of the location that sets a service's value.

#include <map>
#include <optional>
#include <string>

#include "shedlever/errors.h"
#include "shedlever/settings.h"
#include "source/core/settings/settings_json.h"

namespace shedlever {

/// Key of the metadata that `config apply` writes into each document; not a setting.
inline constexpr const char* kChangeKey = "change";
/// Key of the deployment document with the values that all services inherit.
inline constexpr const char* kServiceDefaultsKey = "service";
/// Keys of a service's document in addition to its fields.
inline constexpr const char* kBackendKey = "backend";
inline constexpr const char* kBackendsKey = "backends";
inline constexpr const char* kTenantsKey = "tenants";

struct ServiceDocument {
  SettingsVersion version = 0;
  Json json;
};

/// All documents that could be parsed.
struct ParsedDocuments {
  SettingsVersion deployment_version = 0;
  /// Empty object if the document is missing or could not be parsed.
  Json deployment = Json::object();
  std::map<ServiceName, ServiceDocument> services;
};

/// @return "services/NAME".
DocumentName serviceDocumentName(const ServiceName& service);

/// Parses documents. Unknown names, invalid service names and malformed texts are findings; documents with an unknown
/// name or a malformed text are omitted.
ParsedDocuments parseDocuments(const std::map<DocumentName, SettingsDocument>& documents, Findings& findings);

/// @param pointer a value of the service, e.g. "/backend/slots".
/// @return the location that sets the value, in the service's own document or else in the deployment document; nothing
/// if the value is a default.
std::optional<DocumentLocation> sourceOf(const ParsedDocuments& documents, const ServiceName& service,
                                         const Json::json_pointer& pointer);

/// @return the location that sets the value; for a default, its location in the service's own document.
DocumentLocation locationOf(const ParsedDocuments& documents, const ServiceName& service,
                            const Json::json_pointer& pointer);

}  // namespace shedlever
