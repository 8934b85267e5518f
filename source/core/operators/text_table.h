#pragma once

/// @file
/// A table for people (columns aligned) or for programs (JSON).

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shedlever {

/// Keeps members in the order written, so that people find them where they expect them.
using OrderedJson = nlohmann::ordered_json;

class TextTable {
 public:
  explicit TextTable(std::vector<std::string> columns);

  /// @param cells as many as there are columns.
  void add(std::vector<std::string> cells);

  bool empty() const { return rows_.empty(); }

  /// @return one line a row under a line with the columns' names; no trailing blanks.
  std::string text() const;

  /// @return a list with one object a row, keyed by the columns' names.
  OrderedJson json() const;

 private:
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace shedlever
