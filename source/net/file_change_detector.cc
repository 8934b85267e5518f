#include "source/net/file_change_detector.h"

#include <utility>

namespace shedlever {

namespace {

bool sameFileState(const struct stat& left, const struct stat& right) {
  return left.st_ino == right.st_ino && left.st_size == right.st_size && left.st_mtim.tv_sec == right.st_mtim.tv_sec &&
         left.st_mtim.tv_nsec == right.st_mtim.tv_nsec;
}

}  // namespace

FileChangeDetector::FileChangeDetector(std::string path) : path_(std::move(path)) { hasChanged(); }

bool FileChangeDetector::hasChanged() {
  struct stat now {};
  if (stat(path_.c_str(), &now) != 0 || sameFileState(now, seen_)) {
    return false;
  }
  seen_ = now;
  return true;
}

}  // namespace shedlever
