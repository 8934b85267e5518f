/// @file
/// Reading of complete files, and of a missing file.

#include "source/net/text_file.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace shedlever::test {
namespace {

TEST(TextFileTest, ReadsTheWholeFile) {
  const std::string path = ::testing::TempDir() + "text_file_test_whole";
  const std::string bytes = "one\ntwo\r\n\nno end of line";
  std::ofstream(path, std::ios::binary) << bytes;
  const auto text = readTextFile(path);
  std::remove(path.c_str());
  ASSERT_TRUE(text);
  EXPECT_EQ(*text, bytes);
}

TEST(TextFileTest, ReportsThePathOfAnUnreadableFile) {
  const std::string path = ::testing::TempDir() + "text_file_test_absent";
  const std::string location = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(readTextFile(path));
        return std::string("it was read");
      },
      [](const Findings& findings) { return findings.list.front().location; },
      [] { return std::string("no findings"); });
  EXPECT_EQ(location, path);
}

}  // namespace
}  // namespace shedlever::test
