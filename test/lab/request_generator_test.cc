/// @file
/// Tests the key distribution of generated requests.

#include "source/lab/load/request_generator.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace shedlever::load {
namespace {

TEST(RequestGenerator, ShiftHotKeysChangesHottestKey) {
  LoadConfig config;
  config.gateways.resize(1);
  config.services.resize(1);
  config.tenants.resize(1);
  constexpr double kSteepSkew = 5;
  config.skew = kSteepSkew;
  RequestGenerator generator(config);
  const auto hottest = [&generator] {
    constexpr int kRequestCount = 100;
    std::map<std::string, int> counts;
    for (int i = 0; i < kRequestCount; ++i) {
      ++counts[generator.next().key];
    }
    const auto less = [](const auto& one, const auto& other) { return one.second < other.second; };
    return std::max_element(counts.begin(), counts.end(), less)->first;
  };
  const std::string before = hottest();
  EXPECT_EQ(hottest(), before);
  generator.shiftHotKeys();
  EXPECT_NE(hottest(), before);
}

}  // namespace
}  // namespace shedlever::load
