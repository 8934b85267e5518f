#include "source/core/operators/text_table.h"

#include <algorithm>

namespace shedlever {

namespace {

constexpr std::size_t kColumnGap = 2;  // in characters

std::string formatRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) {
  std::string text;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    text += cells[i];
    text.append(widths[i] + kColumnGap - cells[i].size(), ' ');
  }
  text.erase(text.find_last_not_of(' ') + 1);
  return text + "\n";
}

}  // namespace

TextTable::TextTable(std::vector<std::string> columns) : columns_(std::move(columns)) {}

void TextTable::add(std::vector<std::string> cells) {
  cells.resize(columns_.size());
  rows_.push_back(std::move(cells));
}

std::string TextTable::text() const {
  std::vector<std::size_t> widths;
  for (const std::string& column : columns_) {
    widths.push_back(column.size());
  }
  for (const std::vector<std::string>& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text = formatRow(columns_, widths);
  for (const std::vector<std::string>& row : rows_) {
    text += formatRow(row, widths);
  }
  return text;
}

OrderedJson TextTable::json() const {
  OrderedJson list = OrderedJson::array();
  for (const std::vector<std::string>& row : rows_) {
    OrderedJson object;
    for (std::size_t i = 0; i < row.size(); ++i) {
      object[columns_[i]] = row[i];
    }
    list.push_back(std::move(object));
  }
  return list;
}

}  // namespace shedlever
