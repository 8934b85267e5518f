/// @file
/// Changes of a file are noticed without notifications.

#include "source/net/file_version.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace shedlever::test {
namespace {

class FileVersionTest : public ::testing::Test {
 protected:
  FileVersionTest()
      : folder_(std::filesystem::temp_directory_path() / ("file_version_test-" + std::to_string(getpid()))),
        path_(folder_ / "settings.json") {
    std::filesystem::create_directories(folder_);
  }
  ~FileVersionTest() override { std::filesystem::remove_all(folder_); }

  static void write(const std::filesystem::path& path, const std::string& text) { std::ofstream(path) << text; }

  std::filesystem::path folder_;
  std::filesystem::path path_;
};

TEST_F(FileVersionTest, FileThatStaysHasNotChanged) {
  write(path_, "one");
  FileVersion version(path_);
  EXPECT_FALSE(version.changed());
  EXPECT_FALSE(version.changed());
}

TEST_F(FileVersionTest, WrittenFileHasChangedOnce) {
  write(path_, "one");
  FileVersion version(path_);
  write(path_, "more");
  EXPECT_TRUE(version.changed());
  EXPECT_FALSE(version.changed());
}

TEST_F(FileVersionTest, ReplacedFileOfTheSameLengthHasChanged) {
  write(path_, "one");
  FileVersion version(path_);
  const std::filesystem::path other = folder_ / "other";
  write(other, "two");
  std::filesystem::rename(other, path_);
  EXPECT_TRUE(version.changed());
}

TEST_F(FileVersionTest, MissingFileHasNotChangedAndOneThatComesHas) {
  FileVersion version(path_);
  EXPECT_FALSE(version.changed());
  write(path_, "one");
  EXPECT_TRUE(version.changed());
  std::filesystem::remove(path_);
  EXPECT_FALSE(version.changed());
}

}  // namespace
}  // namespace shedlever::test
