#pragma once

/// @file
/// What every command is given, and small helpers that they share.

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/settings.h"
#include "source/cli/cli_arguments.h"
#include "source/cli/cli_ports.h"
#include "source/core/operators/text_table.h"

namespace shedlever {

struct CliContext {
  CliPorts& ports;
  const CliOptions& options;
  /// What the command works on: the words after its name.
  std::vector<std::string> operands;
  std::ostream& out;
  std::ostream& err;
};

using SettingsDocuments = std::map<DocumentName, SettingsDocument>;

/// Prints findings. @return ExitCode::Findings.
ExitCode failWith(CliContext& context, const Findings& findings);

/// Prints one sentence of an error. @return ExitCode::Failed.
ExitCode failWith(CliContext& context, const std::string& message);

/// Prints a table, or JSON with `--json`.
void print(CliContext& context, const TextTable& table);

/// @return all documents in the store; nothing when it does not answer.
std::optional<SettingsDocuments> fetchDocuments(CliPorts& ports);

/// @return what is wrong with the documents; empty when they resolve.
Findings validateDocuments(const SettingsDocuments& documents);

}  // namespace shedlever
