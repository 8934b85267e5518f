#include "source/lab/losses/loss_table.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace shedlever::losses {

namespace {

std::vector<std::string> splitAt(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(separator, begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

/// Rows of parts and their count, the largest first.
TextTable tableOf(const std::map<std::string, std::uint64_t>& counts, std::vector<std::string> columns) {
  std::vector<std::pair<std::string, std::uint64_t>> sorted(counts.begin(), counts.end());
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& left, const auto& right) { return left.second > right.second; });
  const std::size_t parts = columns.size();
  columns.emplace_back("count");
  TextTable table(std::move(columns));
  for (const auto& [what, count] : sorted) {
    std::vector<std::string> cells = splitAt(what, '/');
    cells.resize(parts);
    cells.push_back(std::to_string(count));
    table.add(std::move(cells));
  }
  return table;
}

}  // namespace

void LossTable::add(const LogLine& line) {
  if (line.part == "gateway") {
    addGatewayEnd(line);
  } else if (line.part == "gate" && line.event == "refused") {
    const std::string column = "gate " + line.field("reason");
    columns_.insert(column);
    ++second(line)[column];
  } else if (line.part == "ownership" && line.event.starts_with("ranges moved")) {
    columns_.insert("moves");
    ++second(line)["moves"];
  } else if (line.part == "store" && line.event == "calls") {
    addStoreCalls(line.field("counts"));
  }
}

void LossTable::addGatewayEnd(const LogLine& line) {
  const bool is_loss = line.event == "refused" || line.event == "failed";
  if (!is_loss) {
    return;
  }
  columns_.insert(line.event);
  ++second(line)[line.event];
  ++causes_[line.field("route") + "/" + line.event + "/" + line.field("reason")];
}

void LossTable::addStoreCalls(const std::string& counts) {
  for (const std::string& entry : splitAt(counts, ',')) {
    const std::size_t colon = entry.rfind(':');
    std::uint64_t count = 0;
    if (colon == std::string::npos ||
        std::from_chars(entry.data() + colon + 1, entry.data() + entry.size(), count).ec != std::errc()) {
      continue;
    }
    calls_[entry.substr(0, colon)] += count;
  }
}

TextTable LossTable::bySecond() const {
  std::vector<std::string> columns{"second"};
  columns.insert(columns.end(), columns_.begin(), columns_.end());
  TextTable table(columns);
  for (const auto& [second, counts] : seconds_) {
    std::vector<std::string> cells{std::to_string(second - seconds_.begin()->first)};
    for (const std::string& column : columns_) {
      const auto found = counts.find(column);
      cells.push_back(std::to_string(found == counts.end() ? 0 : found->second));
    }
    table.add(std::move(cells));
  }
  return table;
}

TextTable LossTable::byCause() const { return tableOf(causes_, {"route", "end", "reason"}); }

TextTable LossTable::storeCalls() const { return tableOf(calls_, {"kind", "verb", "end"}); }

}  // namespace shedlever::losses
