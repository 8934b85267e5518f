#include "source/cli/operator_commands.h"

#include <algorithm>
#include <sstream>

#include "source/core/settings/endpoint_text.h"

namespace shedlever {

namespace {

constexpr int kHttpOk = 200;

OperatorResponse callRouter(CliPorts& ports, const Endpoint& router, const std::string& method,
                            const std::string& target) {
  return awaitResult<OperatorResponse>(ports, [&](auto done) { ports.operators().call(router, method, target, done); });
}

std::string stateOf(const NodeStatus& status) {
  if (status.stopping) {
    return "stopping";
  }
  if (!status.ready) {
    return "not ready";
  }
  if (status.instance.empty()) {
    return "no server";
  }
  if (status.silent) {
    return "server silent";
  }
  return status.draining ? "draining" : "ready";
}

/// @return requests per second that the server takes, as it names them.
std::string limitOf(const NodeStatus& status) {
  if (!status.named_limit) {
    return "-";
  }
  std::ostringstream text;
  text << *status.named_limit;
  return text.str();
}

std::string milliseconds(Duration duration) {
  return std::to_string(std::chrono::floor<std::chrono::milliseconds>(duration).count());
}

/// Fetches the status of every router given with `--operator`. Prints an error for each router that does not respond.
std::vector<NodeStatus> fetchAllStatuses(CliContext& context) {
  std::vector<NodeStatus> statuses;
  for (const Endpoint& router : context.options.operators) {
    if (auto status = fetchStatus(context.ports, router)) {
      statuses.push_back(std::move(*status));
    } else {
      context.err << "shedlever: no status from " << toString(router) << "\n";
    }
  }
  return statuses;
}

ExitCode exitCodeOf(const CliContext& context, const std::vector<NodeStatus>& statuses) {
  return statuses.size() == context.options.operators.size() ? ExitCode::Done : ExitCode::Failed;
}

}  // namespace

std::optional<NodeStatus> fetchStatus(CliPorts& ports, const Endpoint& router) {
  const OperatorResponse response = callRouter(ports, router, "GET", "/status");
  if (response.status != OperatorCallStatus::Answered || response.http_status != kHttpOk) {
    return std::nullopt;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<NodeStatus>> {
        BOOST_LEAF_AUTO(status, decodeNodeStatus(response.body));
        return std::optional<NodeStatus>(std::move(status));
      },
      [] { return std::optional<NodeStatus>(); });
}

ExitCode runStatus(CliContext& context) {
  const std::vector<NodeStatus> statuses = fetchAllStatuses(context);
  TextTable table({"node", "zone", "service", "version", "state", "instance", "running", "queued", "slots", "limit",
                   "in-flight", "config", "lease-ms", "ranges"});
  for (const NodeStatus& status : statuses) {
    table.add({status.node.name.value, status.zone.value, status.service.value, status.version, stateOf(status),
               status.instance.empty() ? "-" : status.instance.value, std::to_string(status.load.running),
               std::to_string(status.load.queued), std::to_string(status.load.slots), limitOf(status),
               std::to_string(status.in_flight), std::to_string(status.config_version), milliseconds(status.lease_left),
               std::to_string(status.ranges.size())});
  }
  print(context, table);
  return exitCodeOf(context, statuses);
}

ExitCode runOwners(CliContext& context) {
  const std::vector<NodeStatus> statuses = fetchAllStatuses(context);
  struct Row {
    std::string service;
    OwnedRange range;
    std::string node;
  };
  std::vector<Row> rows;
  for (const NodeStatus& status : statuses) {
    for (const OwnedRange& range : status.ranges) {
      rows.push_back({status.service.value, range, status.node.name.value});
    }
  }
  std::sort(rows.begin(), rows.end(), [](const Row& left, const Row& right) {
    return std::tie(left.service, left.range.keys.first) < std::tie(right.service, right.range.keys.first);
  });
  TextTable table({"service", "first", "last", "node", "owner", "token", "phase"});
  for (const Row& row : rows) {
    table.add({row.service, std::to_string(row.range.keys.first), std::to_string(row.range.keys.last), row.node,
               row.range.owner.value, std::to_string(row.range.token), row.range.releasing ? "releasing" : "owned"});
  }
  print(context, table);
  return exitCodeOf(context, statuses);
}

ExitCode runQuarantine(CliContext& context) {
  const std::vector<NodeStatus> statuses = fetchAllStatuses(context);
  TextTable table({"node", "fingerprint", "left-ms", "ends"});
  for (const NodeStatus& status : statuses) {
    for (const QuarantineStatus& entry : status.quarantined) {
      std::string instances;
      for (const InstanceId& instance : entry.crashed_instances) {
        instances += (instances.empty() ? "" : ",") + instance.value;
      }
      table.add({status.node.name.value, entry.fingerprint, milliseconds(entry.remaining),
                 instances.empty() ? "-" : instances});
    }
  }
  print(context, table);
  return exitCodeOf(context, statuses);
}

ExitCode runDrain(CliContext& context) {
  if (context.options.operators.size() != 1) {
    Findings findings;
    findings.add("--operator", "must name exactly one router, whose server will be drained.");
    return failWith(context, findings);
  }
  const Endpoint& router = context.options.operators.front();
  const OperatorResponse response = callRouter(context.ports, router, "POST", "/drain");
  switch (response.status) {
    case OperatorCallStatus::NotSent:
      return failWith(context, "the router can't be reached; no request was sent");
    case OperatorCallStatus::ResponseLost:
      context.err << "shedlever: the response was lost; the server may or may not be draining; retry the command\n";
      return ExitCode::Unknown;
    case OperatorCallStatus::Answered:
      break;
  }
  if (response.http_status != kHttpOk) {
    return failWith(context, "the router responded with status " + std::to_string(response.http_status));
  }
  context.out << "draining\n";
  return ExitCode::Done;
}

}  // namespace shedlever
