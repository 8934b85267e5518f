/// @file
/// What the parts of a router process are given to reach each other by.

#include "source/router/router_process.h"

namespace shedlever {

QuarantineCoordinator::Ports RouterProcess::quarantinePorts() {
  QuarantineCoordinator::Ports ports;
  ports.clock = &clock_;
  ports.log = &log_;
  ports.metrics = &metrics_;
  ports.tell_all = [this](const ServerEndsFrame& news) {
    links_.tellAll(news);
    peer_server_->tellAll(news);
  };
  ports.on_change = [this] {
    soon([this] { gate_.onQuarantineChanged(); });
    publishRecord();
  };
  return ports;
}

GateEvents RouterProcess::gateEvents() {
  GateEvents events;
  events.server_gone = [this] { onServerGone(); };
  events.silence = [this](bool silent) { onServerSilence(silent); };
  events.life_ended = [this](const InstanceId& instance, const std::vector<RequestFingerprint>& unanswered) {
    quarantine_.onServerEnd(instance, unanswered);
  };
  events.served = [this](const RequestFingerprint& request) { quarantine_.onServed(request); };
  return events;
}

PeerLinks::Events RouterProcess::linkEvents() {
  PeerLinks::Events events;
  events.on_reachable = [this](const NodeName& node, bool reachable) {
    metrics_.onEvent(reachable ? "peer-reached" : "peer-lost");
    log_.write("peer", reachable ? "reached" : "lost", {{"node", node.value}});
    knowledge_.onReachability();
  };
  events.on_state_wanted = [this](const NodeName& node) {
    if (const auto state = knowledge_.stateFor(node)) {
      links_.tell(node, *state);
    }
  };
  events.on_lease = [this](const NodeName& node, const PeerLease& lease) {
    knowledge_.noteLease(node, lease.valid_until);
    if (keeper_) {
      keeper_->onPeerLease(node, lease);
    }
  };
  events.on_owner_table = [this](const OwnerTableFrame& frame) { knowledge_.onTable(frame.table); };
  events.on_config = [this](const ConfigFrame& told) { knowledge_.onConfigTold(told); };
  events.server_ends = [this] { return quarantine_.summary(); };
  events.on_server_ends = [this](const ServerEndsFrame& told) { quarantine_.onTold(told); };
  return events;
}

RestorableStore::Events RouterProcess::storeEvents() {
  RestorableStore::Events events;
  events.on_restored = [this](StoreEra before, StoreEra now) { onStoreRestored(before, now); };
  events.on_epoch_missing = [this] { onEraUntold(); };
  return events;
}

KnowledgeEvents RouterProcess::knowledgeEvents() {
  KnowledgeEvents events;
  events.on_restored_records = [this](const NodeRecord* own) { publisher_.onRestored(own); };
  events.on_era = [this](StoreEra era) { store_.observePeerEpoch(era); };
  events.on_config = [this] { onConfig(); };
  events.on_nodes = [this] { gateway_->setProcesses(directory_.nodes().size()); };
  events.on_unreadable = [this](const std::string& name) { onUnreadable("membership", name); };
  events.on_record = [this](const NodeRecord& record, bool own) { quarantine_.onRecord(record, own); };
  events.on_evacuations = [this] { onEvacuations(); };
  events.on_owners = [this] { gateway_->onOwnersChanged(); };
  events.on_own_table = [this](const MetadataObject& table) {
    if (keeper_) {
      keeper_->onTableObject(table);
    }
  };
  events.on_complete_list = [this] { onCompleteList(); };
  events.ask_config = [this](const NodeName& node, ConfigVersion known) {
    links_.tell(node, ConfigQuestionFrame{known});
  };
  events.ask_table = [this](const NodeName& node, StoreRevision known) {
    links_.tell(node, TableQuestionFrame{known});
  };
  return events;
}

GatewayDependencies RouterProcess::gatewayPorts() {
  GatewayDependencies ports;
  ports.loop = &loop_;
  ports.clock = &clock_;
  ports.random = &random_;
  ports.protocol = platform_.clients;
  ports.claims = &claims_;
  ports.directory = &directory_;
  ports.quarantine = &quarantine_.quarantine();
  ports.gate = &gate_;
  ports.links = &links_;
  ports.log = &log_;
  ports.metrics = &metrics_;
  ports.owner_of = [this](const ServiceName& service, Key key) { return knowledge_.ownerOf(service, key); };
  ports.on_hint = [this](const ServiceName& service, const OwnerHint& hint) { knowledge_.onHint(service, hint); };
  ports.on_known = [this](const NodeName& node, const ServiceName& service, const KnownRevisions& revisions) {
    knowledge_.onSeenElsewhere(node, service, revisions);
  };
  return ports;
}

StatusPages::Ports RouterProcess::statusPorts() {
  StatusPages::Ports ports;
  ports.reports = platform_.reports;
  ports.ready = [this] { return ready(); };
  ports.metrics = [this] { return metrics_.text(levels()); };
  ports.status = [this] { return status(); };
  ports.drain = [this] { onServerDraining(); };
  return ports;
}

OwnershipPorts RouterProcess::ownershipPorts() {
  OwnershipPorts ports;
  ports.store = &store_;
  ports.orders = &server_link_;
  ports.clock = &clock_;
  ports.directory = &directory_;
  ports.on_change = [this] {
    soon([this] { gate_.onKeysChanged(); });
    gateway_->onOwnersChanged();
    tickSoon();
  };
  ports.on_keys_transferred = [this](const MetadataObject& table, const std::set<NodeName>& gainers) {
    for (const NodeName& node : gainers) {
      links_.tell(node, OwnerTableFrame{{table.name, table.revision, table.value}});
    }
  };
  ports.table_read = [this] { return knowledge_.tablesRead(); };
  ports.on_server_gone = [this] { onServerGone(); };
  ports.on_event = [this](const OwnershipEvent& event) {
    metrics_.onEvent("ownership-change");
    log_.write("ownership", event.what, {{"detail", event.detail}});
  };
  return ports;
}

HeartbeatResponder::Ports RouterProcess::responderPorts() {
  HeartbeatResponder::Ports ports;
  ports.clock = &clock_;
  ports.assign = [this](const KeyReport& report, TimePoint received) {
    return keeper_ ? keeper_->assign(report, received) : std::nullopt;
  };
  ports.would_change = [this](const KeyReport& report) { return keeper_ && keeper_->wouldChange(report); };
  ports.on_acknowledged = [this] {
    if (keeper_) {
      keeper_->onAcknowledged();
    }
  };
  return ports;
}

}  // namespace shedlever
