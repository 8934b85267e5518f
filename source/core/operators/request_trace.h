#pragma once

/// @file
/// The way of one request through the logs of many routers, in words.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedlever {

/// One line of a router's structured log.
struct LogLine {
  /// Node whose log it is.
  std::string node;
  std::string component;
  std::string event;
  /// Time of day in milliseconds.
  std::int64_t at_ms = 0;
  std::map<std::string, std::string, std::less<>> fields;

  /// @return the field's value; empty when the line has none.
  std::string field(std::string_view name) const;
};

/// @return the line; none for text that is no line of the log.
std::optional<LogLine> parseLogLine(const std::string& node, std::string_view text);

/// A line that belongs to a request's way.
struct TraceStep {
  LogLine line;
  /// What it says about the request, one sentence; empty for lines that only stand around it.
  std::string description;
};

/// Finds the request's own lines, and what its node and the node that it was sent to believed shortly before and while
/// it was held. In order of time.
/// @return empty when no line has the id: it was served and its line left out, or its log is missing.
std::vector<TraceStep> traceRequest(const std::vector<LogLine>& lines, const std::string& id);

}  // namespace shedlever
