/// @file
/// Starts and ends of the servers in a simulated cluster, and what the processes learn of them.

#include <algorithm>

#include "source/lab/sim/simulated_cluster_node.h"

namespace shedlever::sim {

void SimulatedCluster::killServer(std::size_t node) {
  nodes_[node]->server.reset();
  nodes_[node]->running_servers.clear();
}

void SimulatedCluster::startServer(std::size_t node) {
  killServer(node);
  startUnreportedServer(node);
  reportServer(node);
}

void SimulatedCluster::startUnreportedServer(std::size_t node) {
  Node& started_node = *nodes_[node];
  started_node.server = std::make_shared<SimulatedServer>(time_, InstanceId("i-" + std::to_string(++last_instance_)));
  started_node.running_servers.push_back(started_node.server);
}

void SimulatedCluster::reportServer(std::size_t node) {
  Node& reported_node = *nodes_[node];
  const std::shared_ptr<SimulatedServer> server = reported_node.server;
  server->has_reported = true;
  reported_node.record.instance = server->instance;
  reported_node.record.draining = false;
  if (reported_node.manager) {
    // Processes recognize a crash of a server by heartbeat, by the loss of all its requests.
    const bool crashed =
        config_.grant_delivery == GrantDelivery::Heartbeat && reported_node.running_servers.size() == 1;
    reported_node.manager->serverUp(server->instance, crashed ? InstanceEnd::Certain : InstanceEnd::Suspected,
                                    time_.now());
    propagateRecords();
  }
  if (config_.grant_delivery == GrantDelivery::Heartbeat) {
    sendHeartbeat(reported_node, server);
  }
}

void SimulatedCluster::killEarlierServers(std::size_t node) {
  std::erase_if(nodes_[node]->running_servers, [&](const auto& server) { return server != nodes_[node]->server; });
}

std::size_t SimulatedCluster::heldAt(std::size_t node) const {
  std::size_t held = 0;
  for (std::size_t i = 0; i < kSampleCount; ++i) {
    const auto& servers = nodes_[node]->running_servers;
    held += std::any_of(servers.begin(), servers.end(),
                        [key = OwnershipChecks::sampleKey(i)](const auto& server) { return server->occupies(key); })
                ? 1
                : 0;
  }
  return held;
}

void SimulatedCluster::drainServer(std::size_t node) {
  nodes_[node]->record.draining = true;
  if (nodes_[node]->manager) {
    nodes_[node]->manager->startDraining();
  }
  propagateRecords();
}

void SimulatedCluster::refuseConnections(std::size_t node) { nodes_[node]->server.reset(); }

void SimulatedCluster::connectToServer(std::size_t node) {
  Node& connecting_node = *nodes_[node];
  if (!connecting_node.server && !connecting_node.paused) {
    onConnectionRefused(connecting_node);
  }
}

void SimulatedCluster::onConnectionRefused(Node& node) {
  const bool is_reached = node.server && node.server->instance == node.record.instance;
  if (is_reached || !node.manager || node.record.instance.empty()) {
    return;
  }
  // The heartbeats of a draining server show which keys it still holds.
  if (node.record.draining && config_.grant_delivery == GrantDelivery::Heartbeat) {
    return;
  }
  node.manager->serverGone();
  node.record.instance = {};
  propagateRecords();
}

}  // namespace shedlever::sim
