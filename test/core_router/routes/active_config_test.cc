/// @file
/// Selection of the active configuration, for any order of its parts and versions.

#include "source/core/router/routes/active_config.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

/// A protocol with two parts; the version is the sum of their values, which must be numbers.
class SumOfParts final : public ConfigProtocol {
 public:
  std::string kind() const override { return "config"; }
  bool isConfigObject(const std::string& name) const override { return name == "a" || name == "b"; }
  bool hasOperatorVersions() const override { return counted_by_operators; }
  leaf::result<RouterConfig> decode(const ObjectsByName& parts) const override {
    RouterConfig config;
    for (const auto& [name, part] : parts) {
      if (part.value == "wrong") {
        Findings findings;
        findings.add(name, "wrong");
        return leaf::new_error(std::move(findings));
      }
      config.version += std::stoull(part.value);
    }
    return config;
  }

  bool counted_by_operators = true;
};

class ActiveConfigTest : public ::testing::Test {
 protected:
  ActiveConfig::Events events() {
    ActiveConfig::Events events;
    events.on_adopted = [this] { adopted_.push_back(config_.routes()->version()); };
    events.on_invalid = [this](const Findings&) { ++invalid_; };
    events.on_stale_part = [this](const MetadataObject&, const StoreRevision&) { ++stale_; };
    events.on_lower_version = [this](ConfigVersion version) { lower_.push_back(version); };
    return events;
  }

  void part(const std::string& name, const StoreRevision& revision, const std::string& value) {
    config_.onPartChanged({name, revision, value}, false);
  }

  SumOfParts protocol_;
  std::vector<ConfigVersion> adopted_;
  std::vector<ConfigVersion> lower_;
  int invalid_ = 0;
  int stale_ = 0;
  ActiveConfig config_{protocol_, events()};
};

TEST_F(ActiveConfigTest, NoConfigurationIsActiveBeforeAllPartsAreListed) {
  part("a", 5, "1");
  part("other", 6, "wrong");
  EXPECT_EQ(config_.routes(), nullptr);
  part("b", 7, "2");
  config_.onListComplete();
  EXPECT_EQ(adopted_, std::vector<ConfigVersion>{3});
  EXPECT_EQ(config_.copies().size(), 2U);
}

TEST_F(ActiveConfigTest, StaleAndInvalidPartsAreIgnored) {
  part("a", 5, "1");
  config_.onListComplete();
  part("a", 4, "9");
  part("a", 6, "wrong");
  EXPECT_EQ(adopted_, std::vector<ConfigVersion>{1});
  EXPECT_EQ(stale_, 1);
  EXPECT_EQ(invalid_, 1);
  EXPECT_EQ(config_.copies().front().value, "1");
}

TEST_F(ActiveConfigTest, PartOfALaterEpochIsNewerDespiteItsLowerRevision) {
  part("a", {1, 113}, "48");
  config_.onListComplete();
  part("a", {2, 97}, "51");
  EXPECT_EQ(adopted_, (std::vector<ConfigVersion>{48, 51}));
}

TEST_F(ActiveConfigTest, LowerVersionInARestoredStoreIsIgnored) {
  part("a", {1, 113}, "48");
  config_.onListComplete();
  part("a", {2, 85}, "40");
  EXPECT_EQ(lower_, std::vector<ConfigVersion>{40});
  EXPECT_EQ(config_.copies().front().value, "48");
}

TEST_F(ActiveConfigTest, LowerVersionIsAdoptedIfTheStoreAssignsVersions) {
  protocol_.counted_by_operators = false;
  part("a", {1, 113}, "113");
  config_.onListComplete();
  part("a", {2, 85}, "85");
  EXPECT_EQ(adopted_, (std::vector<ConfigVersion>{113, 85}));
  EXPECT_EQ(config_.comparableVersion(), 0U);
}

TEST_F(ActiveConfigTest, HigherVersionFromAPeerIsAdopted) {
  part("a", {2, 85}, "40");
  config_.onListComplete();
  config_.onPeerConfig({{"a", {1, 113}, "48"}});
  config_.onPeerConfig({{"a", {1, 90}, "41"}});
  EXPECT_EQ(adopted_, (std::vector<ConfigVersion>{40, 48}));
  part("a", {2, 91}, "48");
  part("a", {2, 92}, "51");
  EXPECT_EQ(adopted_, (std::vector<ConfigVersion>{40, 48, 48, 51}));
}

TEST_F(ActiveConfigTest, FirstConfigurationMayComeFromAPeer) {
  config_.onPeerConfig({{"a", {1, 113}, "48"}});
  EXPECT_EQ(adopted_, std::vector<ConfigVersion>{48});
  part("a", {1, 120}, "50");
  EXPECT_EQ(adopted_, (std::vector<ConfigVersion>{48, 50}));
}

}  // namespace
}  // namespace shedlever::test
