/// @file
/// What a router process tells of itself: to operators, and in its metrics.

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
  status.in_flight = gateway_->inFlight();
  status.known_nodes = directory_.nodes().size();
  status.config_version = knowledge_.routes() ? knowledge_.routes()->version() : 0;
  status.config_parts = knowledge_.configRevisions();
  status.store_epoch = store_.era();
  for (const CrashQuarantine::Quarantined& one : quarantine_.quarantine().quarantined()) {
    QuarantineStatus& told = status.quarantined.emplace_back();
    told.fingerprint = toString(one.request);
    told.remaining = std::max(one.until - clock_.now(), Duration::zero());
    for (const ServerEndId& end : one.ends) {
      told.crashed_instances.push_back(end.instance);
    }
  }
  if (keeper_) {
    status.lease_left = std::max(keeper_->leaseUntil() - clock_.now(), Duration::zero());
    status.ranges = keeper_->tableWriter().table().ownedAt(self_.name);
  }
  return status;
}

RouterLevels RouterProcess::levels() const {
  const TimePoint now = clock_.now();
  RouterLevels levels;
  levels.load = gate_.load();
  levels.in_flight = gateway_->inFlight();
  levels.nodes = directory_.nodes().size();
  levels.config_staleness = knowledge_.configStaleness();
  levels.nodes_staleness = knowledge_.nodesStaleness();
  levels.peer_streams = links_.connected().size();
  if (knowledge_.routes()) {
    levels.config_version = knowledge_.routes()->version();
    levels.config_age = now - config_adopted_at_;
  }
  if (keeper_) {
    levels.owner_table = keeper_->tableWriter().revision().count;
    levels.owned_ranges = keeper_->tableWriter().table().ownedAt(self_.name).size();
    levels.lease_left = std::max(keeper_->leaseUntil() - now, Duration::zero());
    if (const HeartbeatGrantCounts* counts = keeper_->heartbeatCounts()) {
      levels.heartbeats = *counts;
    }
  }
  levels.store_era = store_.era();
  levels.store_reached = store_access_.straightWorks();
  levels.log_lines_dropped = log_.lost();
  levels.quarantined = quarantine_.quarantine().quarantined().size();
  levels.server_ends = quarantine_.quarantine().rememberedEnds();
  return levels;
}

}  // namespace shedlever
