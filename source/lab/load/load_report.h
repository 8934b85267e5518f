#pragma once

/// @file
/// The result of a load, as text, JSON or CSV.

#include <string>
#include <vector>

#include "source/lab/load/load_config.h"
#include "source/lab/load/outcome_tally.h"
#include "source/lab/load/unavailability_meter.h"

namespace shedlever::load {

/// All figures of one load.
struct LoadReport {
  OutcomeTally tally;
  Unavailability unavailable;
  /// Keys that were unavailable at all.
  std::size_t unavailable_keys = 0;
};

/// @param slow_limit latency from which an answered request counts as having waited for an unavailable key.
LoadReport makeReport(const std::vector<RequestRecord>& records, Duration slow_limit);

std::string reportText(const LoadReport& report);
std::string reportJson(const LoadConfig& config, const LoadReport& report);

/// One line a request, with a header line.
std::string recordsCsv(const LoadConfig& config, const std::vector<RequestRecord>& records);

/// Default of `slow_limit`.
inline constexpr Duration kSlowAnswerThreshold = std::chrono::milliseconds(250);

}  // namespace shedlever::load
