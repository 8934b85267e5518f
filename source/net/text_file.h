#pragma once

/// @file
/// Reads complete text files, such as settings and scenarios.

#include <string>

#include "shedlever/errors.h"

namespace shedlever {

/// @return the content of the file, or Findings with the path when the file can't be read.
leaf::result<std::string> readTextFile(const std::string& path);

}  // namespace shedlever
