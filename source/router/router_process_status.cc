/// @file
/// Status and metrics of a router process.

#include <algorithm>

#include "source/router/router_process.h"

namespace shedlever {

NodeStatus RouterProcess::status() const {
  NodeStatus status;
  status.node = self_;
  status.zone = settings_.zone;
  status.service = settings_.service;
  status.version = SHEDLEVER_VERSION;
  status.ready = ready();
  status.stopping = stopping_;
  status.instance = server_.instance();
  status.draining = server_.draining();
  status.silent = server_.silent();
  status.load = gate_.load();
  status.named_limit = gate_.namedLimit();
  status.in_flight = gateway_->inFlight();
  status.known_nodes = directory_.nodes().size();
  status.config_version = cluster_state_.routes() ? cluster_state_.routes()->version() : 0;
  status.config_parts = cluster_state_.configRevisions();
  status.store_epoch = store_.epoch();
  for (const CrashQuarantine::Quarantined& entry : quarantine_.quarantine().quarantined()) {
    QuarantineStatus& row = status.quarantined.emplace_back();
    row.fingerprint = toString(entry.request);
    row.remaining = std::max(entry.until - clock_.now(), Duration::zero());
    for (const ServerCrashId& crash : entry.crashes) {
      row.crashed_instances.push_back(crash.instance);
    }
  }
  if (ownership_manager_) {
    status.lease_left = std::max(ownership_manager_->leaseUntil() - clock_.now(), Duration::zero());
    status.ranges = ownership_manager_->tableWriter().table().ownedAt(self_.name);
  }
  return status;
}

RouterGauges RouterProcess::levels() const {
  const TimePoint now = clock_.now();
  RouterGauges levels;
  levels.load = gate_.load();
  levels.named_limit = gate_.namedLimit();
  levels.in_flight = gateway_->inFlight();
  levels.nodes = directory_.nodes().size();
  levels.config_staleness = cluster_state_.configStaleness();
  levels.nodes_staleness = cluster_state_.nodesStaleness();
  levels.link_bytes_under_way = directory_.links().bytesUnderWay();
  levels.peer_streams = peer_client_.connectedNodes().size();
  levels.arrival_delay = peer_server_->arrivalDelay();
  if (cluster_state_.routes()) {
    levels.config_version = cluster_state_.routes()->version();
    levels.config_age = now - config_adopted_at_;
  }
  if (ownership_manager_) {
    levels.owner_table_revision = ownership_manager_->tableWriter().revision().count;
    levels.owned_ranges = ownership_manager_->tableWriter().table().ownedAt(self_.name).size();
    levels.lease_left = std::max(ownership_manager_->leaseUntil() - now, Duration::zero());
    if (const HeartbeatGrantCounts* counts = ownership_manager_->heartbeatCounts()) {
      levels.heartbeats = *counts;
    }
  }
  levels.store_epoch = store_.epoch();
  levels.store_reached = store_client_.directCallsWork();
  levels.log_lines_dropped = log_.droppedLines();
  levels.quarantined = quarantine_.quarantine().quarantined().size();
  levels.server_crashes = quarantine_.quarantine().crashCount();
  return levels;
}

}  // namespace shedlever
