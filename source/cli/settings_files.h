#pragma once

/// @file
/// Reads settings documents from files: "deployment.json" and "services/NAME.json".

#include <map>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/settings.h"

namespace shedlever {

/// A document and the path of its file.
struct SettingsFile {
  std::string path;
  SettingsDocument document;
};

/// Reads files and all documents in folders. Unreadable files and files that are not settings documents are added to
/// the findings.
/// @return the documents by name, with version 0.
std::map<DocumentName, SettingsFile> readSettingsFiles(const std::vector<std::string>& paths, Findings& findings);

/// Replaces a file atomically: writes a new file in the same folder and renames it.
/// @return whether the file was replaced.
bool replaceFile(const std::string& path, const std::string& text);

}  // namespace shedlever
