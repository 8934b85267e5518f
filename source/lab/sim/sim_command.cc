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
  options::options_description text("shedlever-lab sim FILE...: simulate ownership scenarios in virtual time");
  auto add = text.add_options();
  add("help", "print this help");
  add("seed", options::value(&result.first_seed)->default_value(result.first_seed), "first seed");
  add("seeds", options::value(&result.seeds)->default_value(result.seeds), "number of seeds for each scenario");
  add("variant", options::value(&result.variants)->composing(),
      "NAME=VALUE[,NAME=VALUE...] ownership settings to simulate in addition to the scenario's own; repeatable");
  add("json", "print JSON instead of a table");
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
    options::variables_map parsed;
    options::store(options::command_line_parser(arguments).options(all).positional(positional).run(), parsed);
    options::notify(parsed);
    result.help = parsed.contains("help");
    result.json = parsed.contains("json");
  } catch (const options::error& error) {
    findings.add("command line", error.what());
    return leaf::new_error(std::move(findings));
  }
  if (result.files.empty() && !result.help) {
    findings.add("command line", "must name at least one scenario file");
    return leaf::new_error(std::move(findings));
  }
  return result;
}

/// A scenario with one variant of its settings.
struct SimulationCase {
  Scenario scenario;
  std::string variant;
};

void addCases(const std::string& file, const SimOptions& parsed, std::vector<SimulationCase>& cases,
              Findings& findings) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(scenario, readScenario(file));
        cases.push_back({scenario, "-"});
        for (const std::string& variant : parsed.variants) {
          SimulationCase simulation_case{scenario, variant};
          std::istringstream parts(variant);
          for (std::string part; std::getline(parts, part, ',');) {
            const std::string problem = applyVariant(part, simulation_case.scenario.ownership);
            if (!problem.empty()) {
              findings.add("--variant " + part, problem);
            }
          }
          cases.push_back(std::move(simulation_case));
        }
        return {};
      },
      [&](const Findings& problem) {
        for (const Finding& finding : problem.list) {
          findings.add(file + ": " + finding.location, finding.message);
        }
      },
      [&] { findings.add(file, "cannot be read"); });
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

/// Simulates all seeds and adds one row to the table.
/// @return the number of violations.
std::size_t addRow(const SimulationCase& simulation_case, const SimOptions& parsed, TextTable& table) {
  Duration mean{};
  Duration longest{};
  double churn = 0;
  std::uint64_t changes = 0;
  std::size_t violations = 0;
  for (std::uint64_t i = 0; i < parsed.seeds; ++i) {
    const SimulationResult result = simulate(simulation_case.scenario, parsed.first_seed + i);
    mean += result.unavailable_mean;
    longest = std::max(longest, result.unavailable_longest);
    churn += result.churn;
    changes += result.store_changes;
    violations += result.violations.size();
    if (!result.violations.empty()) {
      std::cerr << simulation_case.scenario.name << " seed " << parsed.first_seed + i << ": "
                << result.violations.front() << "\n";
    }
  }
  const auto count = static_cast<Duration::rep>(parsed.seeds);
  table.add({simulation_case.scenario.name, simulation_case.variant, std::to_string(parsed.seeds),
             seconds(mean / count), seconds(longest), decimal(churn / static_cast<double>(count)),
             std::to_string(changes / parsed.seeds), std::to_string(violations)});
  return violations;
}

int run(const SimOptions& parsed) {
  Findings findings;
  std::vector<SimulationCase> cases;
  for (const std::string& file : parsed.files) {
    addCases(file, parsed, cases, findings);
  }
  if (!findings.empty()) {
    std::cerr << toString(findings);
    return EXIT_FAILURE;
  }
  TextTable table(
      {"scenario", "variant", "plays", "unavailable-mean-s", "longest-s", "churn", "store-changes", "broken"});
  std::size_t violations = 0;
  for (const SimulationCase& simulation_case : cases) {
    violations += addRow(simulation_case, parsed, table);
  }
  constexpr int kIndent = 2;
  std::cout << (parsed.json ? table.json().dump(kIndent) + "\n" : table.text());
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int runSimCommand(const std::vector<std::string>& arguments) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(parsed, parse(arguments));
        if (parsed.help) {
          SimOptions defaults;
          std::cout << describe(defaults);
          return EXIT_SUCCESS;
        }
        return run(parsed);
      },
      [](const Findings& findings) {
        std::cerr << toString(findings);
        return EXIT_FAILURE;
      },
      [] { return EXIT_FAILURE; });
}

}  // namespace shedlever::sim
