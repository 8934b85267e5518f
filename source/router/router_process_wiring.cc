/// @file
/// Callbacks and dependencies that connect the components of a router process.

#include "source/core/router/duration_format.h"
#include "source/router/router_process.h"

namespace shedlever {

QuarantineCoordinator::Ports RouterProcess::quarantinePorts() {
  QuarantineCoordinator::Ports ports;
  ports.clock = &clock_;
  ports.log = &log_;
  ports.metrics = &metrics_;
  ports.broadcast = [this](const ServerCrashesFrame& crashes) {
    peer_client_.broadcastServerCrashes(crashes);
    peer_server_->broadcastServerCrashes(crashes);
  };
  ports.on_change = [this] {
    post([this] { gate_.onQuarantineChanged(); });
    publishRecord();
  };
  return ports;
}

QuotaCoordinator::Ports RouterProcess::quotaPorts() {
  QuotaCoordinator::Ports ports;
  ports.loop = &loop_;
  ports.clock = &clock_;
  ports.directory = &directory_;
  ports.log = &log_;
  ports.metrics = &metrics_;
  ports.ask = [this](const NodeName& node, const QuotaRequestFrame& question, Duration timeout,
                     PeerClient::QuotaGrantCallback done) {
    peer_client_.askQuota(node, question, timeout, std::move(done));
  };
  ports.ensure_connected = [this](const NodeName& node) { peer_client_.ensureConnected(node); };
  return ports;
}

GateEvents RouterProcess::gateEvents() {
  GateEvents events;
  events.server_gone = [this](RefusedCall call) { onServerGone(call); };
  events.silence_changed = [this](bool silent) { onServerSilence(silent); };
  events.server_crashed = [this](const InstanceId& instance, const std::vector<RequestFingerprint>& unanswered) {
    quarantine_.onServerCrash(instance, unanswered);
  };
  events.server_leaving = [this] { onServerDraining("response", keyHandoverTime()); };
  events.served = [this](const RequestFingerprint& request) { quarantine_.onServed(request); };
  return events;
}

ServerVerifier::Ports RouterProcess::verifierPorts() {
  ServerVerifier::Ports ports;
  ports.clock = &clock_;
  ports.log = &log_;
  ports.check_health = [this](ServerVerifier::HealthCallback done) {
    server_client_.checkHealth(gate_.healthPath(), std::move(done));
  };
  ports.can_check_health = [this] { return cluster_state_.routes() != nullptr && !gate_.healthPath().empty(); };
  ports.use = [this](const ServerReport& report, VerificationGround ground, const HealthCheckResult* check) {
    return useVerifiedServer(report, ground, check);
  };
  return ports;
}

NodeRecordPublisher::Events RouterProcess::publisherEvents() {
  NodeRecordPublisher::Events events;
  events.on_no_previous_record = [this] { verifier_.onNoEarlierProcess(); };
  events.on_written = [this] { notice_acknowledgements_.sendDue(clock_.now()); };
  events.on_previous_record = [this](const std::optional<NodeRecord>& record) { onEarlierRecord(record); };
  return events;
}

PeerClient::Events RouterProcess::peerClientEvents() {
  PeerClient::Events events;
  events.on_reachable = [this](const NodeName& node, bool reachable) {
    metrics_.onEvent(reachable ? "peer-reached" : "peer-lost");
    log_.write("peer", reachable ? "reached" : "lost", {{"node", node.value}});
    cluster_state_.onPeerReachabilityChanged();
    if (!reachable) {
      process_ends_.onLost(node, clock_.now());
    }
  };
  events.on_behind = [this](const NodeName& node, Duration behind_by) {
    metrics_.onEvent("peer-behind");
    if (log_.mayWriteAttempt()) {
      log_.write("peer", "behind", {{"node", node.value}, {"behind_ms", formatMilliseconds(behind_by)}});
    }
  };
  events.on_stream_failure = [this](const PeerStreamFailure& failure) { logStreamFailure(failure); };
  events.on_silent_requests = [this](const std::vector<ExchangeId>& exchanges) {
    gateway_->onSilentRequests(exchanges);
  };
  events.on_identified = [this](const NodeIdentity& process) { process_ends_.onReached(process, clock_.now()); };
  events.on_snapshot_requested = [this](const NodeName& node) {
    if (const auto snapshot = cluster_state_.snapshotFor(node)) {
      peer_client_.send(node, *snapshot);
    }
  };
  events.on_lease = [this](const NodeName& node, const PeerLease& lease) {
    cluster_state_.noteLease(node, lease.valid_until);
    if (ownership_manager_) {
      ownership_manager_->onPeerLease(node, lease);
    }
  };
  events.on_owner_table = [this](const OwnerTableFrame& frame) { cluster_state_.owners().onTable(frame.table); };
  events.on_config = [this](const ConfigFrame& config) { cluster_state_.onPeerConfig(config); };
  events.on_owner_table_delta = [this](const NodeName& node, const OwnerTableDeltaFrame& delta) {
    cluster_state_.owners().onDelta(node, delta);
  };
  events.on_unknown_frame = [this](const NodeName& node, bool first) { onUnknownFrame(node, first); };
  events.on_stream_version = [this](const NodeName& node, WireVersion version) {
    log_.write("peer", "version", {{"node", node.value}, {"wire", std::to_string(version)}});
  };
  events.on_sent = [this](const RouterFrame& frame, std::size_t bytes) { metrics_.onFrameSent(frame, bytes); };
  events.server_crashes = [this] { return quarantine_.summary(); };
  events.on_server_crashes = [this](const ServerCrashesFrame& crashes) { quarantine_.onCrashesFrame(crashes); };
  return events;
}

void RouterProcess::onUnknownFrame(const NodeName& node, bool first) {
  metrics_.onEvent("peer-unknown-frame");
  if (first && log_.mayWriteFailed()) {
    log_.write("peer", "unknown-frame", {{"node", node.value}});
  }
}

void RouterProcess::logLateRequest(const NodeName& node, const ForwardFrame& request, Duration lateness) {
  metrics_.onEvent("peer-request-over-on-arrival");
  if (!log_.mayWriteAttempt()) {
    return;
  }
  log_.write("peer", "request-over-on-arrival",
             {{"node", node.value},
              {"id", request.id.value},
              {"route", request.route},
              {"late_ms", formatMilliseconds(lateness)},
              {"over_ms", formatMilliseconds(-Duration(request.remaining_us))}});
}

void RouterProcess::logStreamFailure(const PeerStreamFailure& failure) {
  metrics_.onEvent(failure.silent ? "peer-stream-silent" : "peer-stream-broken");
  if (!log_.mayWriteFailed()) {
    return;
  }
  log_.write("peer", failure.silent ? "stream-silent" : "stream-broken",
             {{"node", failure.node.value},
              {"waiting", std::to_string(failure.waiting_requests)},
              {"unsent_bytes", std::to_string(failure.unsent_bytes)},
              {"since_received_ms", formatMilliseconds(failure.since_received)},
              {"longest_wait_ms", formatMilliseconds(failure.longest_wait)}});
}

RestorableStore::Events RouterProcess::storeEvents() {
  RestorableStore::Events events;
  events.on_restored = [this](StoreEpoch before, StoreEpoch now) { onStoreRestored(before, now); };
  events.on_epoch_missing = [this] { onEpochMissing(); };
  return events;
}

ClusterStateEvents RouterProcess::clusterStateEvents() {
  ClusterStateEvents events;
  events.on_node_records_restored = [this](const NodeRecord* own) { publisher_.onStoreRestored(own); };
  events.on_epoch_observed = [this](StoreEpoch epoch) { store_.observePeerEpoch(epoch); };
  events.on_config_adopted = [this] { onConfigAdopted(); };
  events.on_config_values_ignored = [this](std::size_t) { metrics_.onEvent("config-values-ignored"); };
  events.on_nodes_changed = [this] { gateway_->setProcessCount(directory_.nodes().size()); };
  events.on_unreadable = [this](const std::string& name) { onUnreadable("membership", name); };
  events.on_record = [this](const NodeRecord& record, bool own) {
    if (!own) {
      quarantine_.onRecord(record, false);
      process_ends_.onRecord({record.node, record.incarnation}, clock_.now());
    } else if (record.incarnation == self_.incarnation) {
      quarantine_.onRecord(record, true);
    } else {
      onEarlierRecord(record);
    }
  };
  events.on_evacuations_changed = [this] { onEvacuationsChanged(); };
  events.on_owners_changed = [this] { gateway_->onOwnersChanged(); };
  events.on_own_table = [this](const MetadataObject& table) {
    if (ownership_manager_) {
      ownership_manager_->onTableObject(table);
    }
  };
  events.on_synced = [this] { onSynced(); };
  events.request_config = [this](const NodeName& node, ConfigVersion known) {
    peer_client_.send(node, ConfigRequestFrame{known});
  };
  events.request_owner_table = [this](const NodeName& node, const OwnerTableRequestFrame& request) {
    peer_client_.send(node, request);
  };
  return events;
}

GatewayPorts RouterProcess::gatewayPorts() {
  GatewayPorts ports;
  ports.loop = &loop_;
  ports.clock = &clock_;
  ports.random = &random_;
  ports.protocol = platform_.clients;
  ports.server_protocol = platform_.servers;
  ports.claims = &claims_;
  ports.directory = &directory_;
  ports.quarantine = &quarantine_.quarantine();
  ports.gate = &gate_;
  ports.peer_client = &peer_client_;
  ports.quota = &quota_;
  ports.log = &log_;
  ports.metrics = &metrics_;
  ports.owner_of = [this](const ServiceName& service, Key key) {
    return cluster_state_.owners().ownerOf(service, key);
  };
  ports.on_hint = [this](const ServiceName& service, const OwnerHint& hint) {
    cluster_state_.owners().addHint(service, hint);
  };
  ports.on_known_revisions = [this](const NodeName& node, const ServiceName& service, const KnownRevisions& revisions) {
    cluster_state_.onPeerRevisions(node, service, revisions);
  };
  return ports;
}

StatusPages::Ports RouterProcess::statusPorts() {
  StatusPages::Ports ports;
  ports.reports = platform_.reports;
  ports.ready = [this] { return ready(); };
  ports.metrics = [this] { return metrics_.text(levels()); };
  ports.status = [this] { return status(); };
  ports.drain = [this] { onServerDraining("operator", keyHandoverTime()); };
  return ports;
}

OwnershipPorts RouterProcess::ownershipPorts() {
  OwnershipPorts ports;
  ports.store = &store_;
  ports.server_commands = &command_recorder_;
  ports.clock = &clock_;
  ports.directory = &directory_;
  ports.on_change = [this] {
    post([this] { gate_.onKeysChanged(); });
    gateway_->onOwnersChanged();
    scheduleTick();
  };
  ports.on_keys_transferred = [this](const OwnerTableDeltaFrame& delta, const std::set<NodeName>& gainers) {
    for (const NodeName& node : gainers) {
      sendTransfer(node, delta);
    }
  };
  ports.can_send_edits = [this](const NodeName& node) {
    return peer_client_.isConnected(node) && peer_client_.versionOf(node) >= kRequestPartsWireVersion;
  };
  ports.connect = [this](const NodeName& node) { peer_client_.ensureConnected(node); };
  ports.send_edits = [this](const NodeName& node, const TableEditsFrame& edits, Duration timeout,
                            SharedWrites::ReplyCallback done) {
    peer_client_.sendTableEdits(node, edits, timeout, std::move(done));
  };
  ports.on_shared_write = [this](const std::string& event) { metrics_.onEvent(event); };
  ports.table_read = [this] { return cluster_state_.owners().isRead(); };
  ports.servers_confirmed_at = [this] { return cluster_state_.nodesConfirmedAt(); };
  ports.confirm_servers = [this] { cluster_state_.confirmNodes(); };
  ports.on_server_gone = [this] { onServerGone(RefusedCall::Command); };
  ports.send_plan = [this](const NodeName& node, const PlacementPlanFrame& plan) { peer_client_.send(node, plan); };
  ports.on_placement = [this](const PlacementEvent& event) {
    metrics_.onPlacement(event);
    log_.write(
        "placement", toString(event.step),
        {{"plan", std::to_string(event.plan)}, {"moves", std::to_string(event.moves)}, {"detail", event.detail}});
  };
  ports.on_owner_change = [this](const OwnerChange& change) { ownership_recorder_.ownerChanged(change); };
  ports.on_event = [this](const OwnershipEvent& event) {
    metrics_.onEvent("ownership-change");
    log_.write("ownership", event.what, {{"detail", event.detail}});
  };
  return ports;
}

void RouterProcess::sendTransfer(const NodeName& node, const OwnerTableDeltaFrame& delta) {
  if (peer_client_.versionOf(node) >= kTableDeltaWireVersion) {
    peer_client_.send(node, delta);
  } else if (const std::optional<RouterFrame> whole_table = cluster_state_.owners().answerRequest({})) {
    peer_client_.send(node, *whole_table);
  }
}

HeartbeatResponder::Ports RouterProcess::responderPorts() {
  HeartbeatResponder::Ports ports;
  ports.clock = &clock_;
  ports.assign = [this](const KeyReport& report, TimePoint received) {
    return ownership_manager_ ? ownership_manager_->assign(report, received) : std::nullopt;
  };
  ports.would_change = [this](const KeyReport& report) {
    return ownership_manager_ && ownership_manager_->wouldChange(report);
  };
  ports.on_acknowledged = [this] {
    if (ownership_manager_) {
      ownership_manager_->onAcknowledged();
    }
  };
  return ports;
}

}  // namespace shedlever
