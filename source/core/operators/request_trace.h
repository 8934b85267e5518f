#pragma once

/// @file
/// Reconstructs what happened to one request from the logs of several routers.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedlever {

/// One line of a router's structured log.
struct LogLine {
  /// Node that wrote the line.
  std::string node;
  std::string component;
  std::string event;
  /// Wall-clock time, in milliseconds.
  std::int64_t at_ms = 0;
  std::map<std::string, std::string, std::less<>> fields;

  /// @return the field's value; empty if the line does not have the field.
  std::string field(std::string_view name) const;
};

/// @return the parsed line; nothing if the text is not a line of the structured log.
std::optional<LogLine> parseLogLine(const std::string& node, std::string_view text);

/// One log line of a request's trace.
struct TraceStep {
  LogLine line;
  /// One sentence on what the line means for the request; empty for lines that only give context.
  std::string description;
};

/// Collects the log lines of one request, and the other lines of the nodes involved from shortly before until shortly
/// after them, ordered by time.
/// @return empty if no line has the id: not every successful request is logged, or a log is missing.
std::vector<TraceStep> traceRequest(const std::vector<LogLine>& lines, const std::string& id);

}  // namespace shedlever
