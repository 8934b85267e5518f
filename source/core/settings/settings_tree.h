#pragma once

/// @file
/// Resolves settings documents into effective settings on three levels: deployment, service and back end. Each level
/// inherits the values that it does not set from the level above.

#include <map>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/settings.h"

namespace shedlever {

/// An effective value and its source, for `config get --effective`.
struct ValueSource {
  /// JSON pointer relative to the service, e.g. "/backend/slots".
  std::string path;
  /// The value as JSON text.
  std::string value;
  /// "default", "deployment", "services/NAME" or "services/NAME/backends/BACKEND".
  std::string source;
};

/// Names of settings objects and of the documents in them.
inline constexpr const char* kSettingsPrefix = "settings/";
inline constexpr const char* kDeploymentDocument = "deployment";
inline constexpr const char* kServiceDocumentPrefix = "services/";

/// Resolves and checks all settings documents of a deployment.
/// @param documents by name; without a "deployment" document, all inherited values are defaults.
/// @return the effective settings, or all Findings, each located by document and JSON pointer.
leaf::result<DeploymentSettings> resolveSettings(const std::map<DocumentName, SettingsDocument>& documents);

/// @return every value of one service with its source, or Findings if the documents are invalid or the service is
/// missing.
leaf::result<std::vector<ValueSource>> explainSettings(const std::map<DocumentName, SettingsDocument>& documents,
                                                       const ServiceName& service);

}  // namespace shedlever
