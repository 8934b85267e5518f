/// @file
/// Heartbeats of the servers in a simulated cluster and their acknowledgements.

#include <algorithm>

#include "source/lab/sim/simulated_cluster_node.h"

namespace shedlever::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The urgent interval applies while keys are being released.
constexpr Duration kHeartbeatInterval = milliseconds(870);
constexpr Duration kUrgentHeartbeatInterval = milliseconds(100);
/// An acknowledgement that arrives this long after its heartbeat was sent is ignored.
constexpr Duration kAcknowledgementLimit = seconds(1);

}  // namespace

void SimulatedCluster::sendHeartbeat(Node& node, const std::shared_ptr<SimulatedServer>& server) {
  const KeyReport report = server->assigned.report();
  const TimePoint sent = time_.now();
  const std::uint64_t sequence = ++server->last_sequence;
  const ServerFaults& faults = node.server_faults;
  const auto arrive = [this, &node, server, report, sequence, sent] {
    if (node.runs(server)) {
      deliverHeartbeat(node, server, report, sequence, sent);
    }
  };
  if (happens(faults.late_probability)) {
    time_.after(milliseconds(2000 + random_.below(10000)), arrive);
  } else if (!faults.silent) {
    time_.after(kLoopbackDelay, arrive);
    if (happens(faults.duplicate_probability)) {
      time_.after(milliseconds(10 + random_.below(3000)), arrive);
    }
  }
  scheduleHeartbeat(node, server, server->assigned.isReleasing() ? kUrgentHeartbeatInterval : kHeartbeatInterval);
}

void SimulatedCluster::scheduleHeartbeat(Node& node, const std::shared_ptr<SimulatedServer>& server, Duration delay) {
  time_.after(delay, [this, &node, server, sequence = server->last_sequence] {
    if (node.runs(server) && server->last_sequence == sequence) {
      sendHeartbeat(node, server);
    }
  });
}

void SimulatedCluster::deliverHeartbeat(Node& node, const std::shared_ptr<SimulatedServer>& server,
                                        const KeyReport& report, std::uint64_t sequence, TimePoint sent) {
  if (!node.manager || node.paused) {
    return;
  }
  const bool lost = happens(node.server_faults.lost_acknowledgement_probability);
  const auto reply = [this, &node, server, report, sent, lost](const std::optional<KeyAssignment>& assignment) {
    time_.after(kLoopbackDelay, [this, &node, server, report, sent, lost, assignment] {
      if (lost || !node.runs(server) || time_.now() - sent >= kAcknowledgementLimit) {
        return;
      }
      for (const AssignedRange& range : server->assigned.onAcknowledged(assignment, report.released, sent)) {
        checkAcquisition(*server, range.first, range.last, range.token);
      }
      if (server->assigned.isReleasing()) {
        scheduleHeartbeat(node, server, kUrgentHeartbeatInterval);
      }
    });
  };
  std::uint64_t& newest = node.latest_sequences[server->instance];
  const bool is_known = node.record.instance == server->instance;
  if (sequence <= newest || !is_known) {
    reply(std::nullopt);
    return;
  }
  newest = sequence;
  node.manager->onKeyReport(report);
  node.responder->onHeartbeat(report, reply);
}

}  // namespace shedlever::sim
