#pragma once

/// @file
/// The command line of `shedlever`, parsed.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/identifiers.h"
#include "shedlever/settings.h"
#include "shedlever/time.h"

namespace shedlever {

/// Options of all commands.
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
  /// Names of the options given, without dashes.
  std::vector<std::string> given_options;
};

struct CliArguments {
  CliOptions options;
  /// All that is no option: the command and what it works on.
  std::vector<std::string> positional;
};

/// @return the command line, or Findings with every wrong value.
leaf::result<CliArguments> parseCliArguments(const std::vector<std::string>& arguments);

/// @return the options with their descriptions.
std::string describeCliOptions();

}  // namespace shedlever
