#pragma once

/// @file
/// Detects that a file was written or replaced since the last check.

#include <sys/stat.h>

#include <string>

namespace shedlever {

/// Detects changes by polling, because file notifications are not available on all machines.
class FileChangeDetector {
 public:
  explicit FileChangeDetector(std::string path);

  /// @return whether inode, size or modification time of the file differ from those at the last call or at the
  ///   construction. A missing file counts as unchanged.
  bool hasChanged();

 private:
  std::string path_;
  struct stat seen_ {};
};

}  // namespace shedlever
