#include "source/cli/cli.h"

#include <algorithm>

#include "source/cli/cli_context.h"
#include "source/cli/config_commands.h"
#include "source/cli/explain_command.h"
#include "source/cli/operator_commands.h"
#include "source/core/settings/name_suggestion.h"

namespace shedlever {

namespace {

constexpr std::size_t kUnlimited = 1000000;

/// One command of the program.
struct CommandRow {
  std::string_view name;
  /// The operands in the help text.
  std::string_view operands;
  std::size_t min_operands;
  std::size_t max_operands;
  bool needs_platform;
  bool needs_operator;
  /// Accepted options besides --json.
  std::vector<std::string_view> options;
  std::string_view summary;
  ExitCode (*run)(CliContext&);
};

const std::vector<CommandRow>& commands() {
  static const std::vector<CommandRow> rows = {
      {"config check",
       "FILES|FOLDER",
       1,
       kUnlimited,
       false,
       false,
       {"platform"},
       "validate settings documents; with --platform together with the stored documents",
       runConfigCheck},
      {"config diff",
       "FILES|FOLDER",
       1,
       kUnlimited,
       true,
       false,
       {"platform"},
       "show the differences between files and the stored documents",
       runConfigDiff},
      {"config apply",
       "FILES|FOLDER",
       1,
       kUnlimited,
       true,
       false,
       {"platform", "operator", "wait", "wait-ms", "base", "author", "change-id", "save"},
       "write documents to the store, each as one change; with --wait until they are in force",
       runConfigApply},
      {"config get",
       "[DOCUMENT]",
       0,
       1,
       true,
       false,
       {"platform", "effective", "at"},
       "list the documents or print one; with --effective all its values with their sources",
       runConfigGet},
      {"config history",
       "DOCUMENT",
       1,
       1,
       true,
       false,
       {"platform"},
       "list the versions of a document with their authors",
       runConfigHistory},
      {"config reference",
       "",
       0,
       0,
       false,
       false,
       {},
       "print the settings reference, as in docs/SETTINGS.md",
       runConfigReference},
      {"status", "", 0, 0, false, true, {"operator"}, "show the status of the routers", runStatus},
      {"owners", "", 0, 0, false, true, {"operator"}, "show the key ranges that the routers own", runOwners},
      {"quarantine",
       "",
       0,
       0,
       false,
       true,
       {"operator"},
       "show the requests in quarantine, with the server instances that crashed while processing them",
       runQuarantine},
      {"drain", "", 0, 0, false, true, {"operator"}, "drain the server of one router", runDrain},
      {"explain",
       "ID FILES",
       2,
       kUnlimited,
       false,
       false,
       {},
       "trace a request through router logs; each log file is named after its node",
       runExplain},
  };
  return rows;
}

std::string helpText() {
  std::string text =
      "shedlever: command line for operators.\n\nUsage: shedlever COMMAND [OPTIONS]\n\n"
      "Exit codes: 0 done, 1 failed, 2 wrong usage or findings, 3 conflict, 4 outcome unknown.\n\nCommands:\n";
  for (const CommandRow& command : commands()) {
    text += "  " + std::string(command.name) + (command.operands.empty() ? "" : " ") + std::string(command.operands) +
            "\n      " + std::string(command.summary) + "\n";
  }
  return text + "\n" + describeCliOptions();
}

/// @return the command whose name is the first one or two arguments; null when there is none.
const CommandRow* findCommand(const std::vector<std::string>& positional) {
  const std::string one = positional.empty() ? "" : positional[0];
  const std::string two = positional.size() < 2 ? one : positional[0] + " " + positional[1];
  for (const CommandRow& command : commands()) {
    if (command.name == one || command.name == two) {
      return &command;
    }
  }
  return nullptr;
}

Findings unknownCommand(const std::vector<std::string>& positional) {
  std::vector<std::string_view> names;
  for (const CommandRow& command : commands()) {
    names.push_back(command.name);
  }
  Findings findings;
  if (positional.empty()) {
    findings.add("command line", "names no command; see shedlever --help.");
    return findings;
  }
  const bool two_words = positional[0] == "config" && positional.size() > 1;
  const std::string name = two_words ? positional[0] + " " + positional[1] : positional[0];
  findings.add("command line", "\"" + name + "\" is not a command." + didYouMean(name, names));
  return findings;
}

Findings checkUsage(const CommandRow& command, const CliOptions& options, std::size_t operand_count) {
  Findings findings;
  const std::string name(command.name);
  if (operand_count < command.min_operands || operand_count > command.max_operands) {
    const std::string expected = command.operands.empty() ? "no arguments" : std::string(command.operands);
    findings.add("command line", name + " takes " + expected + ".");
  }
  if (command.needs_platform && !options.platform) {
    findings.add("--platform", "is required by " + name + ".");
  }
  if (command.needs_operator && options.operators.empty()) {
    findings.add("--operator", "is required by " + name + ".");
  }
  for (const std::string& option : options.given_options) {
    const bool accepted = std::find(command.options.begin(), command.options.end(), option) != command.options.end();
    if (!accepted && option != "json") {
      findings.add("--" + option, "has no meaning for " + name + ".");
    }
  }
  return findings;
}

ExitCode runCommand(const CliArguments& arguments, const CliPortsFactory& make_ports, std::ostream& out,
                    std::ostream& err) {
  const CommandRow* command = findCommand(arguments.positional);
  if (command == nullptr) {
    err << toString(unknownCommand(arguments.positional));
    return ExitCode::Findings;
  }
  const std::size_t name_words = command->name.find(' ') == std::string_view::npos ? 1 : 2;
  const std::vector<std::string> operands(arguments.positional.begin() + static_cast<std::ptrdiff_t>(name_words),
                                          arguments.positional.end());
  const Findings findings = checkUsage(*command, arguments.options, operands.size());
  if (!findings.empty()) {
    err << toString(findings);
    return ExitCode::Findings;
  }
  const std::unique_ptr<CliPorts> ports = make_ports(arguments.options);
  CliContext context{*ports, arguments.options, operands, out, err};
  return command->run(context);
}

}  // namespace

ExitCode runCli(const std::vector<std::string>& arguments, const std::string& version,
                const CliPortsFactory& make_ports, std::ostream& out, std::ostream& err) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<ExitCode> {
        BOOST_LEAF_AUTO(parsed, parseCliArguments(arguments));
        if (parsed.options.help) {
          out << helpText();
          return ExitCode::Done;
        }
        if (parsed.options.version) {
          out << "shedlever " << version << "\n";
          return ExitCode::Done;
        }
        return runCommand(parsed, make_ports, out, err);
      },
      [&](const Findings& findings) {
        err << toString(findings);
        return ExitCode::Findings;
      },
      [] { return ExitCode::Failed; });
}

}  // namespace shedlever
