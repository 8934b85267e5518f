#pragma once

/// @file
/// Files that are read whole: settings and scenarios.

#include <string>

#include "shedlever/errors.h"

namespace shedlever {

/// @return the file's bytes, or Findings with the path when it can't be read.
leaf::result<std::string> readTextFile(const std::string& path);

}  // namespace shedlever
