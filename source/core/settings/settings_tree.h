#pragma once

/// @file
/// From settings documents to effective settings: deployment, then service, then back end. A child
/// inherits each value that it does not give itself.

#include <map>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/settings.h"

namespace shedlever {

/// Where an effective value comes from, for `config get --effective`.
struct ValueSource {
  /// JSON pointer below the service, e.g. "/backend/slots".
  std::string path;
  /// The value as JSON text.
  std::string value;
  /// "default", "deployment", "services/NAME" or "services/NAME/backends/BACKEND".
  std::string source;
};

/// Names in the platform's store.
inline constexpr const char* kSettingsPrefix = "settings/";
inline constexpr const char* kDeploymentDocument = "deployment";
inline constexpr const char* kServiceDocumentPrefix = "services/";

/// Resolves and checks a whole set of documents.
/// @param documents by name; a missing "deployment" document means all defaults.
/// @return the effective settings, or all Findings, each with the document and JSON pointer as its place.
leaf::result<DeploymentSettings> resolveSettings(const std::map<DocumentName, SettingsDocument>& documents);

/// @return every value of one service with its source.
leaf::result<std::vector<ValueSource>> explainSettings(const std::map<DocumentName, SettingsDocument>& documents,
                                                       const ServiceName& service);

}  // namespace shedlever
