#pragma once

/// @file
/// Helpers for tests of settings documents.

#include <map>
#include <string>

#include "shedlever/errors.h"
#include "shedlever/settings.h"
#include "source/core/settings/settings_tree.h"

namespace shedlever::test {

using Documents = std::map<DocumentName, SettingsDocument>;

/// Text of each document by document name.
using DocumentTexts = std::map<std::string, std::string>;

/// @return the documents, all with the same version.
inline Documents makeDocuments(const DocumentTexts& texts, SettingsVersion version = 1) {
  Documents documents;
  for (const auto& [name, text] : texts) {
    documents[DocumentName(name)] = {DocumentName(name), version, text};
  }
  return documents;
}

/// @return the findings of the documents; empty if they resolve.
inline Findings findingsOf(const Documents& documents) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Findings> {
        BOOST_LEAF_CHECK(resolveSettings(documents));
        return Findings{};
      },
      [](const Findings& findings) { return findings; },
      [] {
        return Findings{{{"?", "an error other than findings"}}};
      });
}

/// @return the effective settings; an empty deployment if there are findings.
inline DeploymentSettings resolved(const Documents& documents) {
  return leaf::try_handle_all([&] { return resolveSettings(documents); }, [] { return DeploymentSettings{}; });
}

}  // namespace shedlever::test
