#pragma once

/// @file
/// Tells whether a file has been written or replaced since it was last looked at.

#include <sys/stat.h>

#include <string>

namespace shedlever {

/// Asked from time to time: file notifications are not to be had on all machines.
class FileChangeDetector {
 public:
  explicit FileChangeDetector(std::string path);

  /// @return whether the file is another one, or has other bytes, than at the last call or the construction. A file
  ///   that is missing has not changed.
  bool hasChanged();

 private:
  std::string path_;
  struct stat seen_ {};
};

}  // namespace shedlever
