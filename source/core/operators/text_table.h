#pragma once

/// @file
/// A table that is printed as aligned columns or as JSON.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shedlever {

/// JSON whose object members keep their insertion order.
using OrderedJson = nlohmann::ordered_json;

class TextTable {
 public:
  explicit TextTable(std::vector<std::string> columns);

  /// @param cells one per column; missing cells are empty.
  void add(std::vector<std::string> cells);

  bool empty() const { return rows_.empty(); }

  /// @return a line with the column names, then one line per row, without trailing blanks.
  std::string text() const;

  /// @return a list with one object per row, keyed by column name.
  OrderedJson json() const;

 private:
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace shedlever
