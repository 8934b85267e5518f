#pragma once

/// @file
/// Counts the records of a load by outcome.

#include <cstdint>
#include <map>
#include <string>

#include "source/lab/load/latency_histogram.h"
#include "source/lab/load/request_record.h"

namespace shedlever::load {

class OutcomeTally {
 public:
  void add(const RequestRecord& record);

  std::uint64_t total() const { return total_; }
  std::uint64_t count(CallerOutcome outcome) const;
  /// @return counts by "outcome reason", e.g. "not-run queue-full".
  const std::map<std::string, std::uint64_t>& byReason() const { return by_reason_; }
  std::uint64_t wrong() const { return wrong_; }
  std::uint64_t truncated() const { return truncated_; }
  /// Latency of answered requests since their due times.
  const LatencyHistogram& latency() const { return latency_; }

 private:
  std::uint64_t total_ = 0;
  std::map<CallerOutcome, std::uint64_t> by_outcome_;
  std::map<std::string, std::uint64_t> by_reason_;
  std::uint64_t wrong_ = 0;
  std::uint64_t truncated_ = 0;
  LatencyHistogram latency_;
};

}  // namespace shedlever::load
