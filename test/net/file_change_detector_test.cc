/// @file
/// Changes of a file are noticed without notifications.

#include "source/net/file_change_detector.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace shedlever::test {
namespace {

class FileChangeDetectorTest : public ::testing::Test {
 protected:
  FileChangeDetectorTest()
      : folder_(std::filesystem::temp_directory_path() / ("file_version_test-" + std::to_string(getpid()))),
        path_(folder_ / "settings.json") {
    std::filesystem::create_directories(folder_);
  }
  ~FileChangeDetectorTest() override { std::filesystem::remove_all(folder_); }

  static void write(const std::filesystem::path& path, const std::string& text) { std::ofstream(path) << text; }

  std::filesystem::path folder_;
  std::filesystem::path path_;
};

TEST_F(FileChangeDetectorTest, FileThatStaysHasNotChanged) {
  write(path_, "one");
  FileChangeDetector version(path_);
  EXPECT_FALSE(version.hasChanged());
  EXPECT_FALSE(version.hasChanged());
}

TEST_F(FileChangeDetectorTest, WrittenFileHasChangedOnce) {
  write(path_, "one");
  FileChangeDetector version(path_);
  write(path_, "more");
  EXPECT_TRUE(version.hasChanged());
  EXPECT_FALSE(version.hasChanged());
}

TEST_F(FileChangeDetectorTest, ReplacedFileOfTheSameLengthHasChanged) {
  write(path_, "one");
  FileChangeDetector version(path_);
  const std::filesystem::path other = folder_ / "other";
  write(other, "two");
  std::filesystem::rename(other, path_);
  EXPECT_TRUE(version.hasChanged());
}

TEST_F(FileChangeDetectorTest, MissingFileHasNotChangedAndOneThatComesHas) {
  FileChangeDetector version(path_);
  EXPECT_FALSE(version.hasChanged());
  write(path_, "one");
  EXPECT_TRUE(version.hasChanged());
  std::filesystem::remove(path_);
  EXPECT_FALSE(version.hasChanged());
}

}  // namespace
}  // namespace shedlever::test
