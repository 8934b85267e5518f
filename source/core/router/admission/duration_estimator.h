#pragma once

/// @file
/// Estimates durations, such as service times for each route.

#include <map>
#include <string>

#include "shedlever/time.h"

namespace shedlever {

/// Keeps a smoothed mean and mean deviation for each key, as TCP does for round-trip times (RFC 6298). The expected
/// duration is their sum: about four of five durations are shorter if they vary by half of their mean.
class DurationEstimator {
 public:
  void record(const std::string& key, Duration duration);

  /// @return duration that most samples of the key do not exceed; `fallback` if there is no sample yet.
  Duration expected(const std::string& key, Duration fallback) const;

  /// Discards all samples.
  void reset() { estimates_.clear(); }

 private:
  struct Estimate {
    Duration mean{};
    Duration deviation{};
  };

  std::map<std::string, Estimate, std::less<>> estimates_;
};

}  // namespace shedlever
