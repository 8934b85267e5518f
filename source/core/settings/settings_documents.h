#pragma once

/// @file
/// A set of parsed settings documents, and where in it a service's value comes from.

#include <map>
#include <optional>
#include <string>

#include "shedlever/errors.h"
#include "shedlever/settings.h"
#include "source/core/settings/settings_json.h"

namespace shedlever {

/// Key of the metadata that `config apply` writes into each document; no setting.
inline constexpr const char* kChangeKey = "change";
/// Keys of the deployment document.
inline constexpr const char* kServiceDefaultsKey = "service";
/// Keys of a service's document beside its fields.
inline constexpr const char* kBackendKey = "backend";
inline constexpr const char* kBackendsKey = "backends";
inline constexpr const char* kTenantsKey = "tenants";

/// One service's document.
struct ServiceDocument {
  SettingsVersion version = 0;
  Json json;
};

/// All documents that could be read, by what they are.
struct ParsedDocuments {
  SettingsVersion deployment_version = 0;
  /// An empty object when there is no such document.
  Json deployment = Json::object();
  std::map<ServiceName, ServiceDocument> services;
};

/// @return "services/NAME".
DocumentName serviceDocumentName(const ServiceName& service);

/// Sorts and parses documents. What can't be parsed or has an unknown name is a finding and left out.
ParsedDocuments parseDocuments(const std::map<DocumentName, SettingsDocument>& documents, Findings& findings);

/// @param pointer a value of the service, e.g. "/backend/slots".
/// @return the nearest document place that gives it; nothing when it is a default.
std::optional<DocumentLocation> sourceOf(const ParsedDocuments& documents, const ServiceName& service,
                                         const Json::json_pointer& pointer);

/// @return the same, or the value's place in the service's own document when it is a default.
DocumentLocation locationOf(const ParsedDocuments& documents, const ServiceName& service,
                            const Json::json_pointer& pointer);

}  // namespace shedlever
