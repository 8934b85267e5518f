#pragma once

/// @file
/// What `config apply` tells of each document.

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

  /// @return what the operator should know and do next; empty when all went well.
  const std::string& explanation() const { return explanation_; }

 private:
  TextTable table_;
  std::string explanation_;
};

}  // namespace shedlever
