#include "source/cli/cli.h"

#include <algorithm>

#include "source/cli/cli_context.h"
#include "source/cli/config_commands.h"
#include "source/cli/explain_command.h"
#include "source/cli/operator_commands.h"
#include "source/core/settings/name_suggestion.h"

namespace shedlever {

namespace {

constexpr std::size_t kAnyNumber = 1000000;

/// One command of the program.
struct CommandRow {
  std::string_view name;
  /// Words that follow, for the help text.
  std::string_view words;
  std::size_t fewest_words;
  std::size_t most_words;
  bool needs_platform;
  bool needs_operator;
  /// Options that mean something to it, beside --json.
  std::vector<std::string_view> options;
  std::string_view summary;
  ExitCode (*run)(CliContext&);
};

const std::vector<CommandRow>& commands() {
  static const std::vector<CommandRow> rows = {
      {"config check",
       "FILES|FOLDER",
       1,
       kAnyNumber,
       false,
       false,
       {"platform"},
       "check settings documents; with --platform together with the stored ones",
       runConfigCheck},
      {"config diff",
       "FILES|FOLDER",
       1,
       kAnyNumber,
       true,
       false,
       {"platform"},
       "how the files differ from the stored documents",
       runConfigDiff},
      {"config apply",
       "FILES|FOLDER",
       1,
       kAnyNumber,
       true,
       false,
       {"platform", "operator", "wait", "wait-ms", "base", "author", "change-id", "save"},
       "write the documents, each as one change; with --wait until they are in force",
       runConfigApply},
      {"config get",
       "[DOCUMENT]",
       0,
       1,
       true,
       false,
       {"platform", "effective", "at"},
       "list the documents or print one; with --effective all its values and their sources",
       runConfigGet},
      {"config history",
       "DOCUMENT",
       1,
       1,
       true,
       false,
       {"platform"},
       "versions of a document, with who made them",
       runConfigHistory},
      {"config reference", "", 0, 0, false, false, {}, "all settings, as in docs/SETTINGS.md", runConfigReference},
      {"status", "", 0, 0, false, true, {"operator"}, "what the routers named tell of themselves", runStatus},
      {"owners", "", 0, 0, false, true, {"operator"}, "ranges of keys that the routers named own", runOwners},
      {"quarantine",
       "",
       0,
       0,
       false,
       true,
       {"operator"},
       "requests that the routers named keep from servers, as servers ended under them",
       runQuarantine},
      {"drain", "", 0, 0, false, true, {"operator"}, "empty the server beside the router named", runDrain},
      {"explain",
       "ID FILES",
       2,
       kAnyNumber,
       false,
       false,
       {},
       "show a request's way through logs of routers, one file a node, each named after its node",
       runExplain},
  };
  return rows;
}

std::string helpText() {
  std::string text =
      "shedlever: operators' command line.\n\nUsage: shedlever COMMAND [OPTIONS]\n\n"
      "Ends with 0 done, 1 failed, 2 wrong usage or findings, 3 conflict, 4 outcome unknown.\n\nCommands:\n";
  for (const CommandRow& command : commands()) {
    text += "  " + std::string(command.name) + (command.words.empty() ? "" : " ") + std::string(command.words) +
            "\n      " + std::string(command.summary) + "\n";
  }
  return text + "\n" + describeCliOptions();
}

/// @return the command whose name the words begin with; null when there is none.
const CommandRow* findCommand(const std::vector<std::string>& words) {
  const std::string one = words.empty() ? "" : words[0];
  const std::string two = words.size() < 2 ? one : words[0] + " " + words[1];
  for (const CommandRow& command : commands()) {
    if (command.name == one || command.name == two) {
      return &command;
    }
  }
  return nullptr;
}

Findings unknownCommand(const std::vector<std::string>& words) {
  std::vector<std::string_view> names;
  for (const CommandRow& command : commands()) {
    names.push_back(command.name);
  }
  Findings findings;
  if (words.empty()) {
    findings.add("command line", "names no command; see shedlever --help.");
    return findings;
  }
  const bool two_words = words[0] == "config" && words.size() > 1;
  const std::string given = two_words ? words[0] + " " + words[1] : words[0];
  findings.add("command line", "\"" + given + "\" is not a command." + didYouMean(given, names));
  return findings;
}

Findings checkUsage(const CommandRow& command, const CliOptions& options, std::size_t words) {
  Findings findings;
  const std::string name(command.name);
  if (words < command.fewest_words || words > command.most_words) {
    const std::string right = command.words.empty() ? "nothing more" : std::string(command.words);
    findings.add("command line", name + " takes " + right + ".");
  }
  if (command.needs_platform && !options.platform) {
    findings.add("--platform", "is required by " + name + ".");
  }
  if (command.needs_operator && options.operators.empty()) {
    findings.add("--operator", "is required by " + name + ".");
  }
  for (const std::string& option : options.given_options) {
    const bool known = std::find(command.options.begin(), command.options.end(), option) != command.options.end();
    if (!known && option != "json") {
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
  const std::vector<std::string> words(arguments.positional.begin() + static_cast<std::ptrdiff_t>(name_words),
                                       arguments.positional.end());
  const Findings findings = checkUsage(*command, arguments.options, words.size());
  if (!findings.empty()) {
    err << toString(findings);
    return ExitCode::Findings;
  }
  const std::unique_ptr<CliPorts> ports = make_ports(arguments.options);
  CliContext context{*ports, arguments.options, words, out, err};
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
