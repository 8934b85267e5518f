#include "source/lab/sim/scenario.h"

#include <array>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "source/core/router/duration_format.h"
#include "source/core/router/ownership/ownership_fields.h"
#include "source/net/text_file.h"

namespace shedlever::sim {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxNodes = 200;

struct FaultName {
  const char* name;
  FaultKind kind;
};

constexpr std::array<FaultName, 15> kFaultNames{{
    {"kill-node", FaultKind::KillNode},
    {"pause-node", FaultKind::PauseNode},
    {"kill-server", FaultKind::KillServer},
    {"drain-server", FaultKind::DrainServer},
    {"refuse-server", FaultKind::RefuseServer},
    {"leave-server", FaultKind::LeaveServer},
    {"overlap-servers", FaultKind::OverlapServers},
    {"report-late", FaultKind::ReportLate},
    {"silence-server", FaultKind::SilenceServer},
    {"late-orders", FaultKind::LateCommands},
    {"store-down", FaultKind::StoreDown},
    {"store-lossy", FaultKind::StoreLossy},
    {"store-restored", FaultKind::StoreRestored},
    {"busy", FaultKind::Busy},
    {"limit-server", FaultKind::LimitServer},
}};

/// Reads a scenario and collects all errors.
class ScenarioReader {
 public:
  explicit ScenarioReader(Findings& findings) : findings_(findings) {}

  Scenario read(const json& document) {
    Scenario scenario;
    scenario.name = document.value("name", std::string("unnamed"));
    const json nodes = document.value("nodes", json(scenario.nodes));
    if (!nodes.is_number_unsigned() || nodes.get<std::size_t>() == 0 || nodes.get<std::size_t>() > kMaxNodes) {
      findings_.add("nodes", "must be a whole number from 1 to " + std::to_string(kMaxNodes));
    } else {
      scenario.nodes = nodes.get<std::size_t>();
    }
    scenario.duration = duration(document, "length", "length", scenario.duration);
    const json ownership = document.value("ownership", json::object());
    for (const auto& [name, value] : ownership.items()) {
      const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
      const std::string problem = applyVariant(std::string(name).append("=").append(text), scenario.ownership);
      if (!problem.empty()) {
        findings_.add(std::string("ownership/").append(name), problem);
      }
    }
    const json faults = document.value("faults", json::array());
    for (const json& fault : faults) {
      const std::string location = "faults/" + std::to_string(scenario.faults.size());
      scenario.faults.push_back(readFault(fault, location, scenario.nodes));
    }
    return scenario;
  }

 private:
  Duration duration(const json& object, const char* field, const std::string& location, Duration fallback) {
    const auto found = object.find(field);
    if (found == object.end()) {
      return fallback;
    }
    const auto parsed = found->is_string() ? parseDuration(found->get<std::string>()) : std::nullopt;
    if (!parsed) {
      findings_.add(location, "must be a duration such as 1500ms or 2.5s");
    }
    return parsed.value_or(fallback);
  }

  Fault readFault(const json& object, const std::string& location, std::size_t nodes) {
    Fault fault;
    if (!object.is_object()) {
      findings_.add(location, "must be an object");
      return fault;
    }
    fault.kind = kindOf(object.value("kind", std::string()), location);
    fault.at = duration(object, "at", location + "/at", fault.at);
    fault.duration = duration(object, "for", location + "/for", fault.duration);
    const json affected = object.value("nodes", json::array());
    for (const json& node : affected) {
      if (!node.is_number_unsigned() || node.get<std::size_t>() >= nodes) {
        findings_.add(location + "/nodes", "must name nodes from 0 to " + std::to_string(nodes - 1));
      } else {
        fault.nodes.push_back(node.get<std::size_t>());
      }
    }
    if (affected.empty()) {
      for (std::size_t node = 0; node < nodes; ++node) {
        fault.nodes.push_back(node);
      }
    }
    return fault;
  }

  FaultKind kindOf(const std::string& name, const std::string& location) {
    std::string known;
    for (const FaultName& row : kFaultNames) {
      if (name == row.name) {
        return row.kind;
      }
      known += (known.empty() ? "" : ", ") + std::string(row.name);
    }
    findings_.add(location + "/kind", "must be one of " + known);
    return FaultKind::KillNode;
  }

  Findings& findings_;
};

}  // namespace

leaf::result<Scenario> parseScenario(const std::string& text) {
  Findings findings;
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    findings.add("scenario", "must be a JSON object");
    return leaf::new_error(std::move(findings));
  }
  Scenario scenario = ScenarioReader(findings).read(document);
  if (!findings.empty()) {
    return leaf::new_error(std::move(findings));
  }
  return scenario;
}

leaf::result<Scenario> readScenario(const std::string& path) {
  BOOST_LEAF_AUTO(text, readTextFile(path));
  return parseScenario(text);
}

std::string applyVariant(const std::string& variant, OwnershipConfig& config) {
  const std::size_t equals = variant.find('=');
  const std::string name = variant.substr(0, equals);
  const std::string value = equals == std::string::npos ? "" : variant.substr(equals + 1);
  for (const OwnershipDurationField& field : ownershipDurationFields()) {
    if (name == field.name) {
      const auto parsed = parseDuration(value);
      config.*field.member = parsed.value_or(config.*field.member);
      return parsed ? "" : "must be a duration such as 1500ms or 2.5s";
    }
  }
  for (const OwnershipShareField& field : ownershipShareFields()) {
    if (name == field.name) {
      char* end = nullptr;
      const double number = std::strtod(value.c_str(), &end);
      const bool is_valid = !value.empty() && *end == '\0' && number >= 0 && number <= 1;
      config.*field.member = is_valid ? number : config.*field.member;
      return is_valid ? "" : "must be a number from 0 to 1";
    }
  }
  return "is not an ownership setting";
}

}  // namespace shedlever::sim
