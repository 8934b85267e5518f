#pragma once

/// @file
/// Measures for each key how long its requests were not answered.

#include <map>
#include <string>
#include <vector>

#include "source/lab/load/request_record.h"

namespace shedlever::load {

/// Bounds of the unavailable time of one key or of all keys.
struct Unavailability {
  /// Lower bounds: a gap lasts from the due time of the first unanswered request until the end of the last unanswered
  /// request in a row.
  Duration longest_lower_bound = Duration::zero();
  Duration total_lower_bound = Duration::zero();
  /// Upper bounds: a gap lasts until the due time of the next answered request.
  Duration longest_upper_bound = Duration::zero();
  Duration total_upper_bound = Duration::zero();
};

/// Accepts records in any order. A request whose latency exceeds `slow_threshold` counts as a gap from its due time
/// until its response.
class UnavailabilityMeter {
 public:
  /// @param slow_threshold latency above which an answered request counts as delayed by an unavailable key.
  explicit UnavailabilityMeter(Duration slow_threshold) : slow_threshold_(slow_threshold) {}

  void add(const RequestRecord& record);

  /// @return an entry "SERVICE-INDEX/KEY" for each key that was unavailable.
  std::map<std::string, Unavailability> perKey() const;

  /// @return the longest gap of any key and the sums over all keys.
  Unavailability total() const;

 private:
  struct Sample {
    Duration due;
    Duration ended;
    bool answered = false;
  };
  Unavailability measure(std::vector<Sample> samples) const;

  Duration slow_threshold_;
  std::map<std::string, std::vector<Sample>> samples_;
};

/// @return whether the outcome depends on the key's availability. False for requests that were not sent, and for
/// rejections of the request itself or of a repeated idempotency key.
bool reflectsAvailability(const RequestRecord& record);

}  // namespace shedlever::load
