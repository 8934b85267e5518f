#pragma once

/// @file
/// Parses the command line of `shedlever`.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/identifiers.h"
#include "shedlever/settings.h"
#include "shedlever/time.h"

namespace shedlever {

/// The options of all commands.
struct CliOptions {
  bool help = false;
  bool version = false;
  std::optional<Endpoint> platform;
  std::vector<Endpoint> operators;
  bool json = false;
  bool wait = false;
  Duration wait_timeout = std::chrono::seconds(30);
  bool effective = false;
  bool save = false;
  std::optional<SettingsVersion> base_version;
  std::optional<SettingsVersion> history_version;
  std::string author;
  std::string change_id;
  /// The names of the options on the command line, without dashes.
  std::vector<std::string> given_options;
};

struct CliArguments {
  CliOptions options;
  /// The command and its operands.
  std::vector<std::string> positional;
};

/// @return the parsed command line, or Findings with every invalid option.
leaf::result<CliArguments> parseCliArguments(const std::vector<std::string>& arguments);

/// @return the help text of the options.
std::string describeCliOptions();

}  // namespace shedlever
