#pragma once

/// @file
/// Where requests were lost, summed over the logs of all routers of one run: by second, by route and cause, and what
/// the processes called the store for.

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "source/core/operators/request_trace.h"
#include "source/core/operators/text_table.h"

namespace shedlever::losses {

/// Counts lines as the logs hold them: routers keep few lines of served requests and most of the others.
class LossTable {
 public:
  void add(const LogLine& line);

  /// @return a row a second since the first line: requests refused and failed at their gateway, what gates refused by
  ///   reason, moves of keys.
  TextTable bySecond() const;
  /// @return a row for each route, end and reason, the most frequent first.
  TextTable byCause() const;
  /// @return a row for each kind of objects, verb and end of calls to the store, the most frequent first.
  TextTable storeCalls() const;

 private:
  using Counts = std::map<std::string, std::uint64_t>;

  void addGatewayEnd(const LogLine& line);
  void addStoreCalls(const std::string& counts);
  Counts& second(const LogLine& line) { return seconds_[line.at_ms / kMillisecondsPerSecond]; }

  static constexpr std::int64_t kMillisecondsPerSecond = 1000;

  /// By second of the day.
  std::map<std::int64_t, Counts> seconds_;
  std::set<std::string> columns_;
  Counts causes_;
  Counts calls_;
};

}  // namespace shedlever::losses
