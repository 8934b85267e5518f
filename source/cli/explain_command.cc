#include "source/cli/explain_command.h"

#include <filesystem>
#include <fstream>
#include <utility>

#include "source/core/operators/request_trace.h"

namespace shedlever {

namespace {

void readLog(const std::string& path, std::vector<LogLine>& lines, Findings& findings) {
  std::ifstream file(path);
  if (!file) {
    findings.add(path, "can't be read.");
    return;
  }
  const std::string node = std::filesystem::path(path).stem().string();
  std::string text;
  while (std::getline(file, text)) {
    if (auto line = parseLogLine(node, text)) {
      lines.push_back(std::move(*line));
    }
  }
}

std::string otherFields(const LogLine& line) {
  std::string text;
  for (const auto& [key, value] : line.fields) {
    if (key == "event" || key == "at_ms" || key == "t_us") {
      continue;
    }
    text += text.empty() ? "" : " ";
    text.append(key).append("=").append(value);
  }
  return text;
}

}  // namespace

ExitCode runExplain(CliContext& context) {
  Findings findings;
  std::vector<LogLine> lines;
  for (std::size_t i = 1; i < context.operands.size(); ++i) {
    readLog(context.operands[i], lines, findings);
  }
  if (!findings.empty()) {
    return failWith(context, findings);
  }
  const std::string& id = context.operands.front();
  const std::vector<TraceStep> steps = traceRequest(lines, id);
  if (steps.empty()) {
    context.err << "no log line has the id " << id
                << ": the request was served without a log line, or the log of its node is missing\n";
    return ExitCode::Failed;
  }
  TextTable table({"at_ms", "node", "event", "what"});
  for (const TraceStep& step : steps) {
    table.add({std::to_string(step.line.at_ms), step.line.node, step.line.component + " " + step.line.event,
               step.description.empty() ? otherFields(step.line) : step.description});
  }
  print(context, table);
  return ExitCode::Done;
}

}  // namespace shedlever
