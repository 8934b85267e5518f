/// @file
/// Validates the example deployments and compares docs/SETTINGS.md with the settings reference.

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "source/cli/settings_files.h"
#include "source/core/settings/settings_reference.h"
#include "source/core/settings/settings_tree.h"
#include "source/router/router_settings.h"

namespace shedlever::test {
namespace {

const std::string kRoot = SHEDLEVER_SOURCE_FOLDER;

/// An example deployment and its expected services.
struct ExampleCase {
  const char* folder;
  std::vector<std::string> services;
  const char* divided_service;
  const char* once_only_service;
};

std::vector<ExampleCase> exampleCases() {
  return {{"sindh-south", {"daakhla", "naqsha", "talash", "tasdeeq"}, "talash", "daakhla"},
          {"mu-north", {"drawings", "lookup", "orderdesk", "pricing"}, "lookup", "orderdesk"}};
}

DeploymentSettings resolveFolder(const std::string& folder) {
  Findings findings;
  std::map<DocumentName, SettingsDocument> documents;
  for (const auto& [name, file] : readSettingsFiles({folder}, findings)) {
    documents[name] = file.document;
  }
  EXPECT_TRUE(findings.empty()) << toString(findings);
  return leaf::try_handle_all([&] { return resolveSettings(documents); },
                              [](const Findings& errors) {
                                ADD_FAILURE() << toString(errors);
                                return DeploymentSettings{};
                              },
                              [] { return DeploymentSettings{}; });
}

TEST(Examples, DocumentsResolveToTheExpectedServices) {
  for (const ExampleCase& example : exampleCases()) {
    SCOPED_TRACE(example.folder);
    const DeploymentSettings settings = resolveFolder(kRoot + "/examples/" + example.folder);
    std::vector<std::string> names;
    for (const auto& [name, service] : settings.services) {
      names.push_back(name.value);
      EXPECT_EQ(service.at_most_once, name.value == example.once_only_service);
      EXPECT_EQ(service.divided_by_key, name.value == example.divided_service);
      EXPECT_EQ(service.tenants.size(), 3U);
      EXPECT_EQ(service.backend.slots, 6U);
    }
    EXPECT_EQ(names, example.services);
  }
}

TEST(Examples, ProcessSettingsAreValid) {
  std::size_t files = 0;
  for (const ExampleCase& example : exampleCases()) {
    for (const auto& entry :
         std::filesystem::directory_iterator(kRoot + "/examples/" + example.folder + "/processes")) {
      ++files;
      leaf::try_handle_all(
          [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(readRouterSettings(entry.path().string()));
            return {};
          },
          [](const Findings& findings) { ADD_FAILURE() << toString(findings); }, [] { ADD_FAILURE(); });
    }
  }
  EXPECT_EQ(files, 2U);
}

TEST(Examples, SettingsPageEqualsTheSettingsReference) {
  std::ifstream file(kRoot + "/docs/SETTINGS.md");
  std::ostringstream page;
  page << file.rdbuf();
  EXPECT_EQ(page.str(), settingsReference()) << "run: shedlever config reference > docs/SETTINGS.md";
}

}  // namespace
}  // namespace shedlever::test
