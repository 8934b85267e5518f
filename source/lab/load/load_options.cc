#include "source/lab/load/load_options.h"

#include <boost/program_options.hpp>
#include <charconv>
#include <limits>
#include <sstream>

namespace shedlever::load {

namespace {

namespace options = boost::program_options;

/// Command-line values before validation.
struct Flags {
  std::vector<std::string> gateways;
  std::vector<std::string> services;
  std::vector<std::string> tenants;
  double seconds = 10;
  std::uint32_t deadline_ms = 3000;
  std::string format = "text";
};

options::options_description describe(Flags& flags, LoadOptions& result) {
  LoadConfig& config = result.config;
  options::options_description text("shedlever-lab load: open-loop requests to routers");
  auto add = text.add_options();
  add("help", "print this help");
  add("gateway", options::value(&flags.gateways)->composing(),
      "IP:PORT on which a router accepts requests; repeatable");
  add("service", options::value(&flags.services)->composing(), "NAME=PREFIX or NAME=PREFIX,once-only; repeatable");
  add("tenant", options::value(&flags.tenants)->composing(), "NAME=CREDENTIAL or NAME=CREDENTIAL,WEIGHT; repeatable");
  add("rate", options::value(&config.rate)->default_value(config.rate), "requests per second");
  add("seconds", options::value(&flags.seconds)->default_value(flags.seconds), "time during which requests are sent");
  add("keys", options::value(&config.keys)->default_value(config.keys), "number of keys of each service");
  add("skew", options::value(&config.skew)->default_value(config.skew),
      "exponent of the Zipf distribution of the keys");
  add("repeat-share", options::value(&config.repeat_ratio)->default_value(config.repeat_ratio),
      "ratio of once-only requests that repeat an earlier request");
  add("deadline-ms", options::value(&flags.deadline_ms)->default_value(flags.deadline_ms),
      "deadline of each request in milliseconds");
  add("body-bytes", options::value(&config.body_bytes)->default_value(config.body_bytes),
      "minimum size of each request body in bytes");
  add("seed", options::value(&config.seed)->default_value(config.seed), "seed of the request sequence");
  add("format", options::value(&flags.format)->default_value(flags.format),
      "text, json, or csv (one line per request)");
  add("output", options::value(&result.output), "file for the report; standard output by default");
  return text;
}

/// "NAME=VALUE" or "NAME=VALUE,OPTION".
struct NamedValue {
  std::string name;
  std::string value;
  std::string option;
};

NamedValue split(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    return {};
  }
  const std::size_t comma = text.find(',', equals);
  NamedValue named{text.substr(0, equals), text.substr(equals + 1, comma - equals - 1), ""};
  if (comma != std::string::npos) {
    named.option = text.substr(comma + 1);
  }
  return named;
}

void readGateways(const Flags& flags, LoadConfig& config, Findings& findings) {
  for (const std::string& text : flags.gateways) {
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const char* const digits = colon == std::string::npos ? end : text.data() + colon + 1;
    const auto [read_to, error] = std::from_chars(digits, end, port);
    if (error != std::errc() || read_to != end || port == 0) {
      findings.add("--gateway " + text, "must be IP:PORT");
      continue;
    }
    config.gateways.push_back({text.substr(0, colon), port});
  }
  if (flags.gateways.empty()) {
    findings.add("--gateway", "must be given at least once");
  }
}

void readServices(const Flags& flags, LoadConfig& config, Findings& findings) {
  for (const std::string& text : flags.services) {
    const NamedValue named = split(text);
    const bool prefix_fits = named.value.size() > 1 && named.value.front() == '/' && named.value.back() == '/';
    if (named.name.empty() || !prefix_fits || (!named.option.empty() && named.option != "once-only")) {
      findings.add("--service " + text, "must be NAME=/PREFIX/ or NAME=/PREFIX/,once-only");
      continue;
    }
    config.services.push_back({ServiceName(named.name), named.value, named.option == "once-only"});
  }
  if (flags.services.empty()) {
    findings.add("--service", "must be given at least once");
  }
}

void readTenants(const Flags& flags, LoadConfig& config, Findings& findings) {
  for (const std::string& text : flags.tenants) {
    const NamedValue named = split(text);
    std::uint32_t weight = 1;
    const char* const end = named.option.data() + named.option.size();
    const auto [read_to, error] = std::from_chars(named.option.data(), end, weight);
    const bool weight_fits = named.option.empty() || (error == std::errc() && read_to == end && weight > 0);
    if (named.name.empty() || named.value.empty() || !weight_fits) {
      findings.add("--tenant " + named.name, "must be NAME=CREDENTIAL or NAME=CREDENTIAL,WEIGHT");
      continue;
    }
    config.tenants.push_back({TenantName(named.name), named.value, static_cast<double>(weight)});
  }
  if (flags.tenants.empty()) {
    findings.add("--tenant", "must be given at least once");
  }
}

void readNumbers(const Flags& flags, LoadOptions& result, Findings& findings) {
  LoadConfig& config = result.config;
  constexpr double kMicroseconds = 1e6;
  constexpr double kMaxSeconds = 86400;
  if (!(flags.seconds > 0 && flags.seconds <= kMaxSeconds)) {
    findings.add("--seconds", "must be above 0 and at most 86400");
  } else {
    config.duration = Duration(static_cast<Duration::rep>(flags.seconds * kMicroseconds));
  }
  if (!(config.rate > 0)) {
    findings.add("--rate", "must be above 0");
  }
  if (config.keys == 0) {
    findings.add("--keys", "must be at least 1");
  }
  if (!(config.repeat_ratio >= 0 && config.repeat_ratio <= 1)) {
    findings.add("--repeat-share", "must be between 0 and 1");
  }
  config.deadline = std::chrono::milliseconds(flags.deadline_ms);
  if (flags.format == "json") {
    result.format = ReportFormat::Json;
  } else if (flags.format == "csv") {
    result.format = ReportFormat::Csv;
  } else if (flags.format != "text") {
    findings.add("--format", "must be text, json or csv");
  }
}

}  // namespace

std::string loadHelp() {
  Flags flags;
  LoadOptions result;
  std::ostringstream text;
  text << describe(flags, result);
  return text.str();
}

leaf::result<LoadOptions> parseLoadOptions(const std::vector<std::string>& arguments) {
  Flags flags;
  LoadOptions result;
  Findings findings;
  const options::options_description text = describe(flags, result);
  try {
    options::variables_map given;
    options::store(options::command_line_parser(arguments).options(text).run(), given);
    options::notify(given);
    result.help = given.contains("help");
  } catch (const options::error& error) {
    findings.add("command line", error.what());
    return leaf::new_error(findings);
  }
  if (result.help) {
    return result;
  }
  readGateways(flags, result.config, findings);
  readServices(flags, result.config, findings);
  readTenants(flags, result.config, findings);
  readNumbers(flags, result, findings);
  if (!findings.empty()) {
    return leaf::new_error(findings);
  }
  return result;
}

}  // namespace shedlever::load
