#pragma once

/// @file
/// Generates the settings reference, docs/SETTINGS.md, from the field tables.

#include <string>

namespace shedlever {

/// @return the complete page as Markdown.
std::string settingsReference();

}  // namespace shedlever
