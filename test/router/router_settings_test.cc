/// @file
/// Tests of parsing the settings of a router process.

#include "source/router/router_settings.h"

#include <gtest/gtest.h>

#include <limits>

namespace shedlever::test {
namespace {

std::string settingsWith(const std::string& section) {
  return R"({"node":{"name":"n","zone":"z","service":"s"},
             "listen":{"clients":"127.0.0.1:1","peers":"127.0.0.1:2","readiness":"127.0.0.1:3","reports":"127.0.0.1:4"},
             "connect":{"server":"127.0.0.1:5","store":"127.0.0.1:6"})" +
         section + "}";
}

TEST(RouterSettingsTest, QuarantineHasDefaultsAndRejectsInvalidValues) {
  const auto defaults = parseRouterSettings(settingsWith(""));
  ASSERT_TRUE(defaults);
  EXPECT_EQ(defaults->quarantine.crash_threshold, QuarantineConfig{}.crash_threshold);
  EXPECT_EQ(defaults->quarantine.duration, QuarantineConfig{}.duration);
  const auto given = parseRouterSettings(settingsWith(R"(,"quarantine":{"ends":4,"time":"600s"})"));
  ASSERT_TRUE(given);
  EXPECT_EQ(given->quarantine.crash_threshold, 4U);
  EXPECT_EQ(given->quarantine.duration, std::chrono::minutes(10));
  for (const char* wrong : {R"({"ends":1})", R"({"ends":"3"})", R"({"time":"0s"})", R"({"time":"90000s"})"}) {
    EXPECT_FALSE(parseRouterSettings(settingsWith(R"(,"quarantine":)" + std::string(wrong)))) << wrong;
  }
}

TEST(RouterSettingsTest, ConfigTimeLimitHasADefaultAndALowerBound) {
  EXPECT_EQ(parseRouterSettings(settingsWith(""))->config_time_limit, std::chrono::seconds(2));
  const auto given = parseRouterSettings(settingsWith(R"(,"config":{"within":"4000ms"})"));
  ASSERT_TRUE(given);
  EXPECT_EQ(given->config_time_limit, std::chrono::seconds(4));
  EXPECT_FALSE(parseRouterSettings(settingsWith(R"(,"config":{"within":"1999ms"})")));
}

TEST(RouterSettingsTest, NumberOfServersForServicePlansHasADefaultAndCanBeTurnedOff) {
  EXPECT_EQ(parseRouterSettings(settingsWith(""))->ownership.service_plan_from, OwnershipConfig{}.service_plan_from);
  const auto off = parseRouterSettings(settingsWith(R"(,"ownership":{"service_plan_from":0})"));
  ASSERT_TRUE(off);
  EXPECT_EQ(off->ownership.service_plan_from, 0U);
  for (const char* wrong : {"-1", "\"24\"", "true"}) {
    const std::string section = R"(,"ownership":{"service_plan_from":)" + std::string(wrong) + "}";
    EXPECT_FALSE(parseRouterSettings(settingsWith(section))) << wrong;
  }
}

// Guards against a process that takes all memory because its settings do not state how much there is.
TEST(RouterSettingsTest, MemoryOfTheMachineHasADefaultAndCanBeUnlimited) {
  const auto defaults = parseRouterSettings(settingsWith(""));
  ASSERT_TRUE(defaults);
  EXPECT_EQ(defaults->machine_memory_bytes, kDefaultMachineMemoryBytes);
  EXPECT_LT(defaults->bodyMemoryBytes(), kDefaultMachineMemoryBytes);
  const auto given = parseRouterSettings(settingsWith(R"(,"machine":{"memory_mb":512})"));
  ASSERT_TRUE(given);
  EXPECT_EQ(given->machine_memory_bytes, 512U << 20U);
  const auto unlimited = parseRouterSettings(settingsWith(R"(,"machine":{"memory_mb":0})"));
  ASSERT_TRUE(unlimited);
  EXPECT_EQ(unlimited->bodyMemoryBytes(), std::numeric_limits<std::size_t>::max());
}

}  // namespace
}  // namespace shedlever::test
