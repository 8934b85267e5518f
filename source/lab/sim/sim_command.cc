#include "source/lab/sim/sim_command.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "source/core/operators/text_table.h"
#include "source/lab/sim/simulation.h"

namespace shedlever::sim {

namespace {

namespace options = boost::program_options;

struct SimOptions {
  bool help = false;
  bool json = false;
  std::uint64_t first_seed = 1;
  std::uint64_t seeds = 5;
  std::vector<std::string> variants;
  std::vector<std::string> files;
};

options::options_description describe(SimOptions& result) {
  options::options_description text("shedlever-lab sim FILE...: scenarios of ownership on virtual time");
  auto add = text.add_options();
  add("help", "this text");
  add("seed", options::value(&result.first_seed)->default_value(result.first_seed), "first seed");
  add("seeds", options::value(&result.seeds)->default_value(result.seeds), "plays of each scenario");
  add("variant", options::value(&result.variants)->composing(),
      "NAME=VALUE[,NAME=VALUE...] of the ownership settings, played beside the scenario's own; repeatable");
  add("json", "print JSON in place of a table");
  return text;
}

leaf::result<SimOptions> parse(const std::vector<std::string>& arguments) {
  SimOptions result;
  Findings findings;
  options::options_description all = describe(result);
  all.add_options()("file", options::value(&result.files)->composing());
  options::positional_options_description positional;
  positional.add("file", -1);
  try {
    options::variables_map given;
    options::store(options::command_line_parser(arguments).options(all).positional(positional).run(), given);
    options::notify(given);
    result.help = given.contains("help");
    result.json = given.contains("json");
  } catch (const options::error& error) {
    findings.add("command line", error.what());
    return leaf::new_error(std::move(findings));
  }
  if (result.files.empty() && !result.help) {
    findings.add("command line", "names no scenario file");
    return leaf::new_error(std::move(findings));
  }
  return result;
}

/// A scenario under one set of values.
struct SimulationCase {
  Scenario scenario;
  std::string variant;
};

void addCases(const std::string& file, const SimOptions& given, std::vector<SimulationCase>& plays,
              Findings& findings) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(scenario, readScenario(file));
        plays.push_back({scenario, "-"});
        for (const std::string& variant : given.variants) {
          SimulationCase play{scenario, variant};
          std::istringstream parts(variant);
          for (std::string part; std::getline(parts, part, ',');) {
            const std::string wrong = applyVariant(part, play.scenario.ownership);
            if (!wrong.empty()) {
              findings.add("--variant " + part, wrong);
            }
          }
          plays.push_back(std::move(play));
        }
        return {};
      },
      [&](const Findings& wrong) {
        for (const Finding& finding : wrong.list) {
          findings.add(file + ": " + finding.location, finding.message);
        }
      },
      [&] { findings.add(file, "can't be read"); });
}

std::string seconds(Duration duration) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  std::string text(32, '\0');
  const double value = static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
  text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%.3f", value)));
  return text;
}

std::string decimal(double value) {
  std::string text(32, '\0');
  text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%.2f", value)));
  return text;
}

/// Plays all seeds and adds one row.
/// @return how many promises were broken.
std::size_t addRow(const SimulationCase& play, const SimOptions& given, TextTable& table) {
  Duration mean{};
  Duration longest{};
  double churn = 0;
  std::uint64_t changes = 0;
  std::size_t broken = 0;
  for (std::uint64_t i = 0; i < given.seeds; ++i) {
    const SimulationResult measures = simulate(play.scenario, given.first_seed + i);
    mean += measures.unavailable_mean;
    longest = std::max(longest, measures.unavailable_longest);
    churn += measures.churn;
    changes += measures.store_changes;
    broken += measures.violations.size();
    if (!measures.violations.empty()) {
      std::cerr << play.scenario.name << " seed " << given.first_seed + i << ": " << measures.violations.front()
                << "\n";
    }
  }
  const auto count = static_cast<Duration::rep>(given.seeds);
  table.add({play.scenario.name, play.variant, std::to_string(given.seeds), seconds(mean / count), seconds(longest),
             decimal(churn / static_cast<double>(count)), std::to_string(changes / given.seeds),
             std::to_string(broken)});
  return broken;
}

int run(const SimOptions& given) {
  Findings findings;
  std::vector<SimulationCase> plays;
  for (const std::string& file : given.files) {
    addCases(file, given, plays, findings);
  }
  if (!findings.empty()) {
    std::cerr << toString(findings);
    return EXIT_FAILURE;
  }
  TextTable table(
      {"scenario", "variant", "plays", "unavailable-mean-s", "longest-s", "churn", "store-changes", "broken"});
  std::size_t broken = 0;
  for (const SimulationCase& play : plays) {
    broken += addRow(play, given, table);
  }
  constexpr int kIndent = 2;
  std::cout << (given.json ? table.json().dump(kIndent) + "\n" : table.text());
  return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int runSimCommand(const std::vector<std::string>& arguments) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(given, parse(arguments));
        if (given.help) {
          SimOptions defaults;
          std::cout << describe(defaults);
          return EXIT_SUCCESS;
        }
        return run(given);
      },
      [](const Findings& findings) {
        std::cerr << toString(findings);
        return EXIT_FAILURE;
      },
      [] { return EXIT_FAILURE; });
}

}  // namespace shedlever::sim
