#pragma once

/// @file
/// The context of a command, and helpers that several commands share.

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
  /// The positional arguments after the name of the command.
  std::vector<std::string> operands;
  std::ostream& out;
  std::ostream& err;
};

using SettingsDocuments = std::map<DocumentName, SettingsDocument>;

/// Prints findings. @return ExitCode::Findings.
ExitCode failWith(CliContext& context, const Findings& findings);

/// Prints an error message. @return ExitCode::Failed.
ExitCode failWith(CliContext& context, const std::string& message);

/// Prints a table as text, or as JSON with `--json`.
void print(CliContext& context, const TextTable& table);

/// @return all settings documents in the store; nothing when the store does not respond.
std::optional<SettingsDocuments> fetchDocuments(CliPorts& ports);

/// @return the errors in the documents; empty when they can be resolved to settings.
Findings validateDocuments(const SettingsDocuments& documents);

}  // namespace shedlever
