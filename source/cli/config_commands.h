#pragma once

/// @file
/// The commands `shedlever config ...`.

#include "source/cli/cli_context.h"

namespace shedlever {

/// Validates files and folders, together with the stored documents when `--platform` is given.
ExitCode runConfigCheck(CliContext& context);

/// Prints the differences between files and the stored documents.
ExitCode runConfigDiff(CliContext& context);

/// Writes files to the store, each as one change.
ExitCode runConfigApply(CliContext& context);

/// Lists the stored documents, or prints one document, its effective values or an earlier version.
ExitCode runConfigGet(CliContext& context);

/// Lists the versions of one document.
ExitCode runConfigHistory(CliContext& context);

/// Prints the settings reference.
ExitCode runConfigReference(CliContext& context);

}  // namespace shedlever
