#include "source/cli/cli_arguments.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <charconv>
#include <sstream>

#include "source/core/settings/endpoint_text.h"
#include "source/core/settings/name_suggestion.h"

namespace shedlever {

namespace {

namespace po = boost::program_options;

using Texts = std::vector<std::string>;

po::options_description describe() {
  po::options_description options("Options");
  const auto text = [](const char* name) { return po::value<Texts>()->value_name(name); };
  auto add = options.add_options();
  add("platform", text("IP:PORT"), "the metadata store");
  add("operator", text("IP:PORT"), "readiness endpoint of a router; may be repeated");
  add("json", "print JSON instead of tables");
  add("wait", "apply: wait until the versions are in force on every router given with --operator");
  add("wait-ms", text("MS"), "apply: time limit for --wait (30000)");
  add("base", text("VERSION"), "apply: the version that the file is based on");
  add("author", text("NAME"), "apply: author of the change (the user's name)");
  add("change-id", text("ID"), "apply: retry a change whose outcome was unknown");
  add("save", "apply: save the accepted change in the file as the base of the next change");
  add("effective", "get: every value with its source");
  add("at", text("VERSION"), "get: an earlier version, from the history");
  add("help", "print this text");
  add("version", "print the version");
  return options;
}

std::vector<std::string> optionNames(const po::options_description& options) {
  std::vector<std::string> names;
  for (const auto& option : options.options()) {
    names.push_back(option->long_name());
  }
  return names;
}

/// Parses option values.
class OptionReader {
 public:
  OptionReader(CliOptions& options, Findings& findings) : options_(options), findings_(findings) {}

  void read(const std::string& name, const std::string& value) {
    const bool repeated =
        std::find(options_.given_options.begin(), options_.given_options.end(), name) != options_.given_options.end();
    if (repeated && name != "operator") {
      findings_.add("--" + name, "is given more than once.");
    }
    options_.given_options.push_back(name);
    if (value.compare(0, 2, "--") == 0) {
      findings_.add("--" + name, "needs a value.");
      return;
    }
    readFlag(name);
    readEndpoint(name, value);
    readNumber(name, value);
    readText(name, value);
  }

 private:
  void readFlag(const std::string& name) {
    options_.help = options_.help || name == "help";
    options_.version = options_.version || name == "version";
    options_.json = options_.json || name == "json";
    options_.wait = options_.wait || name == "wait";
    options_.save = options_.save || name == "save";
    options_.effective = options_.effective || name == "effective";
  }

  void readEndpoint(const std::string& name, const std::string& value) {
    if (name != "platform" && name != "operator") {
      return;
    }
    const std::optional<Endpoint> endpoint = parseEndpoint(value);
    if (!endpoint || endpoint->port == 0) {
      findings_.add("--" + name, "must be IP:PORT with an IP address and no host name, not \"" + value + "\".");
    } else if (name == "platform") {
      options_.platform = endpoint;
    } else {
      options_.operators.push_back(*endpoint);
    }
  }

  void readNumber(const std::string& name, const std::string& value) {
    if (name != "base" && name != "at" && name != "wait-ms") {
      return;
    }
    constexpr std::uint64_t kMaxWaitMs = 24ULL * 3600 * 1000;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    const bool valid = error == std::errc() && end == value.data() + value.size();
    if (!valid || (name == "wait-ms" && number > kMaxWaitMs)) {
      findings_.add("--" + name, "must be a whole number, not \"" + value + "\".");
    } else if (name == "base") {
      options_.base_version = number;
    } else if (name == "at") {
      options_.history_version = number;
    } else {
      options_.wait_timeout = std::chrono::milliseconds(number);
    }
  }

  void readText(const std::string& name, const std::string& value) {
    if (name == "author") {
      options_.author = value;
    } else if (name == "change-id") {
      options_.change_id = value;
    }
  }

  CliOptions& options_;
  Findings& findings_;
};

}  // namespace

leaf::result<CliArguments> parseCliArguments(const std::vector<std::string>& arguments) {
  namespace style = po::command_line_style;
  const int argument_style = style::allow_long | style::long_allow_adjacent | style::long_allow_next;
  const po::options_description options = describe();
  CliArguments result;
  Findings findings;
  OptionReader reader(result.options, findings);
  try {
    for (const po::option& option :
         po::command_line_parser(arguments).options(options).style(argument_style).run().options) {
      const std::string value = option.value.empty() ? "" : option.value.front();
      if (option.position_key >= 0) {
        result.positional.push_back(value);
      } else {
        reader.read(option.string_key, value);
      }
    }
  } catch (const po::unknown_option& error) {
    const std::vector<std::string> names = optionNames(options);
    const std::string name = error.get_option_name();
    const std::string bare = name.substr(std::min(name.find_first_not_of('-'), name.size()));
    findings.add(name, "is not a known option." + didYouMean(bare, {names.begin(), names.end()}));
  } catch (const po::error& error) {
    findings.add("command line", std::string(error.what()) + ".");
  }
  if (!findings.empty()) {
    return leaf::new_error(std::move(findings));
  }
  return result;
}

std::string describeCliOptions() {
  std::ostringstream text;
  text << describe();
  return text.str();
}

}  // namespace shedlever
