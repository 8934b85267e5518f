#include "source/cli/config_wait.h"

#include <algorithm>

#include "source/cli/operator_commands.h"
#include "source/interface/settings_config_protocol.h"

namespace shedlever {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(200);

/// @return whether the router has all these versions, or later ones, active.
bool isActive(const NodeStatus& status, const std::map<DocumentName, SettingsVersion>& versions) {
  return std::all_of(versions.begin(), versions.end(), [&status](const auto& entry) {
    const auto part = status.config_parts.find(settingsObjectName(entry.first));
    return part != status.config_parts.end() && part->second.count >= entry.second;
  });
}

std::vector<std::string> outdatedRouters(CliContext& context, const std::map<DocumentName, SettingsVersion>& versions) {
  std::vector<std::string> outdated;
  for (const Endpoint& router : context.options.operators) {
    const std::optional<NodeStatus> status = fetchStatus(context.ports, router);
    if (!status || !isActive(*status, versions)) {
      outdated.push_back(status ? status->node.name.value : toString(router) + " (no answer)");
    }
  }
  return outdated;
}

}  // namespace

ExitCode waitUntilActive(CliContext& context, const std::map<DocumentName, SettingsVersion>& versions) {
  const auto polls = std::max<Duration::rep>(1, context.options.wait_timeout / kPollInterval);
  std::vector<std::string> outdated;
  for (Duration::rep i = 0; i < polls; ++i) {
    outdated = outdatedRouters(context, versions);
    if (outdated.empty()) {
      if (!context.options.json) {
        context.out << "in force on " << context.options.operators.size() << " routers\n";
      }
      return ExitCode::Done;
    }
    pause(context.ports, kPollInterval);
  }
  std::string text = "written, but not in force on";
  for (const std::string& router : outdated) {
    text += " " + router;
  }
  return failWith(context, text);
}

}  // namespace shedlever
