#pragma once

/// @file
/// Settings documents in files: "deployment.json" and "services/NAME.json".

#include <map>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/settings.h"

namespace shedlever {

/// A document and the file that it was read from.
struct SettingsFile {
  std::string path;
  SettingsDocument document;
};

/// Reads files, and all documents of folders.
/// @return by document name, version 0; what can't be read or told is a finding.
std::map<DocumentName, SettingsFile> readSettingsFiles(const std::vector<std::string>& paths, Findings& findings);

/// @return whether the text was written whole: into a new file beside it, which then takes its place.
bool replaceFile(const std::string& path, const std::string& text);

}  // namespace shedlever
