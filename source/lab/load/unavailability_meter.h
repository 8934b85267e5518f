#pragma once

/// @file
/// Unavailable time per key: when its requests could not be answered.

#include <map>
#include <string>
#include <vector>

#include "source/lab/load/request_record.h"

namespace shedlever::load {

/// Unavailable time of one key, or over many.
struct Unavailability {
  /// From the due time of a request that was not answered to the end of the last such one in a row: that
  /// long the key certainly was unavailable.
  Duration longest_lower_bound = Duration::zero();
  Duration total_lower_bound = Duration::zero();
  /// The same up to the due time of the next answered request: no longer than that.
  Duration longest_upper_bound = Duration::zero();
  Duration total_upper_bound = Duration::zero();
};

/// Takes records in any order. A request that was answered late, beyond `slow_limit`, counts as unavailable
/// from its due time until its answer.
class UnavailabilityMeter {
 public:
  /// @param slow_limit latency from which an answered request counts as having waited for an unavailable key.
  explicit UnavailabilityMeter(Duration slow_limit) : slow_threshold_(slow_limit) {}

  void add(const RequestRecord& record);

  /// @return for each key "SERVICE-INDEX/KEY" that was unavailable at all.
  std::map<std::string, Unavailability> perKey() const;

  /// @return the longest gaps over all keys and the sums over all keys.
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

/// @return whether the outcome says something of the key's availability: refusals of a repeated idempotency
/// key and of the request itself don't.
bool reflectsAvailability(const RequestRecord& record);

}  // namespace shedlever::load
