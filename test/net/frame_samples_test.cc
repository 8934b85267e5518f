/// @file
/// Frames as earlier builds write them. Guards against a change of the encoding that separates processes of different
/// builds.

#include "test/support/frame_samples.h"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <set>

#include "source/net/router_codec.h"

namespace shedlever::test {
namespace {

std::string fromHex(const std::string& digits) {
  constexpr int kHexBase = 16;
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, kHexBase)));
  }
  return bytes;
}

std::map<std::string, std::string> readSamples(WireVersion version) {
  const std::string file =
      std::string(SHEDLEVER_SOURCE_FOLDER) + "/test/net/frame_samples/version-0" + std::to_string(version) + ".txt";
  std::ifstream stream(file);
  std::map<std::string, std::string> samples;
  std::string name;
  std::string digits;
  while (stream >> name >> digits) {
    samples[name] = fromHex(digits);
  }
  return samples;
}

class FrameSamplesTest : public ::testing::TestWithParam<int> {
 protected:
  WireVersion version() const { return static_cast<WireVersion>(GetParam()); }
};

TEST_P(FrameSamplesTest, FramesAreEncodedAsThatVersionDoes) {
  const std::map<std::string, std::string> samples = readSamples(version());
  const std::vector<FrameSample> frames = frameSamples(version());
  ASSERT_EQ(samples.size(), frames.size());
  for (const FrameSample& sample : frames) {
    ASSERT_TRUE(samples.contains(sample.name)) << sample.name;
    EXPECT_EQ(encodeRouterFrame(sample.frame, version()), samples.at(sample.name)) << sample.name;
  }
}

TEST_P(FrameSamplesTest, FramesOfThatVersionAreDecodedWhole) {
  for (const auto& [name, bytes] : readSamples(version())) {
    const auto decoded = leaf::try_handle_all(
        [&, sample = bytes]() -> leaf::result<std::string> {
          BOOST_LEAF_AUTO(frame, decodeRouterFrame(sample, version()));
          return encodeRouterFrame(frame, version());
        },
        [] { return std::string("rejected"); });
    EXPECT_EQ(decoded, bytes) << name;
  }
}

INSTANTIATE_TEST_SUITE_P(Versions, FrameSamplesTest, ::testing::Range<int>(kOldestWireVersion, kNewestWireVersion + 1));

// A kind of frame without a sample could change unnoticed. The difference of owner tables is tested by RouterCodecTest.
TEST(FrameSamplesCoverageTest, EachKindHasASample) {
  std::set<std::size_t> kinds;
  for (const FrameSample& sample : frameSamples(kNewestWireVersion)) {
    kinds.insert(sample.frame.index());
  }
  EXPECT_EQ(kinds.size(), std::variant_size_v<RouterFrame> - 2);
}

}  // namespace
}  // namespace shedlever::test
