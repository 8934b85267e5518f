#pragma once

/// @file
/// The report of `config apply` about each document.

#include <string>

#include "source/cli/cli_ports.h"
#include "source/core/operators/text_table.h"
#include "source/core/settings/settings_write.h"

namespace shedlever {

/// @return the exit code for one document.
ExitCode exitCodeOf(SettingsWriteStatus status);

class ApplyReport {
 public:
  ApplyReport();

  void add(const DocumentName& document, const std::string& change_id, const SettingsWriteOutcome& outcome);
  void addSkipped(const DocumentName& document);

  const TextTable& table() const { return table_; }

  /// @return conflicts and failures, with advice for the operator; empty when all documents were accepted.
  const std::string& explanation() const { return explanation_; }

 private:
  TextTable table_;
  std::string explanation_;
};

}  // namespace shedlever
