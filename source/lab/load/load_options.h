#pragma once

/// @file
/// Command-line options of `shedlever-lab load`.

#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "source/lab/load/load_config.h"

namespace shedlever::load {

enum class ReportFormat : std::uint8_t { Text, Json, Csv };

struct LoadOptions {
  LoadConfig config;
  ReportFormat format = ReportFormat::Text;
  /// File for the report; empty for standard output.
  std::string output;
  bool help = false;
};

/// @return the options, or Findings with every invalid value.
leaf::result<LoadOptions> parseLoadOptions(const std::vector<std::string>& arguments);

/// @return the help text.
std::string loadHelp();

}  // namespace shedlever::load
