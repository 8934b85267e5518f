#pragma once

/// @file
/// Formats the result of a load as text, JSON or CSV.

#include <string>
#include <vector>

#include "source/lab/load/load_config.h"
#include "source/lab/load/outcome_tally.h"
#include "source/lab/load/unavailability_meter.h"

namespace shedlever::load {

/// Aggregated results of one load.
struct LoadReport {
  OutcomeTally tally;
  Unavailability unavailable;
  /// Number of keys that were unavailable at least once.
  std::size_t unavailable_keys = 0;
};

/// @param slow_threshold latency above which an answered request counts as delayed by an unavailable key.
LoadReport makeReport(const std::vector<RequestRecord>& records, Duration slow_threshold);

std::string reportText(const LoadReport& report);
std::string reportJson(const LoadConfig& config, const LoadReport& report);

/// @return a header line and one line per request.
std::string recordsCsv(const LoadConfig& config, const std::vector<RequestRecord>& records);

/// Default of `slow_threshold`.
inline constexpr Duration kSlowAnswerThreshold = std::chrono::milliseconds(250);

}  // namespace shedlever::load
