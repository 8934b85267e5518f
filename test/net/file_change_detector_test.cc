/// @file
/// Changes of a file are detected by polling.

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

TEST_F(FileChangeDetectorTest, UntouchedFileHasNotChanged) {
  write(path_, "one");
  FileChangeDetector detector(path_);
  EXPECT_FALSE(detector.hasChanged());
  EXPECT_FALSE(detector.hasChanged());
}

TEST_F(FileChangeDetectorTest, WriteIsReportedOnce) {
  write(path_, "one");
  FileChangeDetector detector(path_);
  write(path_, "more");
  EXPECT_TRUE(detector.hasChanged());
  EXPECT_FALSE(detector.hasChanged());
}

TEST_F(FileChangeDetectorTest, ReplacementOfTheSameLengthIsReported) {
  write(path_, "one");
  FileChangeDetector detector(path_);
  const std::filesystem::path other = folder_ / "other";
  write(other, "two");
  std::filesystem::rename(other, path_);
  EXPECT_TRUE(detector.hasChanged());
}

TEST_F(FileChangeDetectorTest, CreationIsReportedAndRemovalIsNot) {
  FileChangeDetector detector(path_);
  EXPECT_FALSE(detector.hasChanged());
  write(path_, "one");
  EXPECT_TRUE(detector.hasChanged());
  std::filesystem::remove(path_);
  EXPECT_FALSE(detector.hasChanged());
}

}  // namespace
}  // namespace shedlever::test
