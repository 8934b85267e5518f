#include "source/cli/settings_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include "source/core/settings/settings_tree.h"

namespace shedlever {

namespace {

namespace fs = std::filesystem;

constexpr const char* kExtension = ".json";
constexpr const char* kServicesFolder = "services";

std::optional<DocumentName> documentOf(const fs::path& path) {
  const std::string name = path.stem().string();
  if (path.extension() != kExtension) {
    return std::nullopt;
  }
  if (fs::absolute(path).parent_path().filename() == kServicesFolder) {
    return DocumentName(kServiceDocumentPrefix + name);
  }
  return name == kDeploymentDocument ? std::optional(DocumentName(kDeploymentDocument)) : std::nullopt;
}

/// Collects documents from files and folders.
class FileReader {
 public:
  explicit FileReader(Findings& findings) : findings_(findings) {}

  void read(const fs::path& path) {
    std::error_code error;
    if (fs::is_directory(path, error)) {
      readFolder(path);
      readFolder(path / kServicesFolder);
      return;
    }
    const std::optional<DocumentName> name = documentOf(path);
    if (!name) {
      findings_.add(path.string(), "is no settings document: a file must be deployment.json or services/NAME.json.");
      return;
    }
    readDocument(path, *name);
  }

  std::map<DocumentName, SettingsFile> take() { return std::move(files_); }

 private:
  void readFolder(const fs::path& folder) {
    std::error_code error;
    std::vector<fs::path> paths;
    for (const fs::directory_entry& entry : fs::directory_iterator(folder, error)) {
      if (entry.path().extension() == kExtension) {
        paths.push_back(entry.path());
      }
    }
    std::sort(paths.begin(), paths.end());
    for (const fs::path& path : paths) {
      read(path);
    }
  }

  void readDocument(const fs::path& path, const DocumentName& name) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
      findings_.add(path.string(), "can't be read, or is empty.");
      return;
    }
    if (!files_.emplace(name, SettingsFile{path.string(), {name, 0, text.str()}}).second) {
      findings_.add(path.string(), "defines " + name.value + " a second time.");
    }
  }

  Findings& findings_;
  std::map<DocumentName, SettingsFile> files_;
};

}  // namespace

std::map<DocumentName, SettingsFile> readSettingsFiles(const std::vector<std::string>& paths, Findings& findings) {
  FileReader reader(findings);
  for (const std::string& path : paths) {
    reader.read(path);
  }
  std::map<DocumentName, SettingsFile> files = reader.take();
  if (files.empty() && findings.empty()) {
    findings.add("command line", "names no settings documents; give files or a folder.");
  }
  return files;
}

bool replaceFile(const std::string& path, const std::string& text) {
  const std::string temporary_path = path + ".new";
  std::ofstream file(temporary_path, std::ios::binary);
  file << text;
  file.close();
  std::error_code error;
  if (file) {
    fs::rename(temporary_path, path, error);
  }
  return file && !error;
}

}  // namespace shedlever
