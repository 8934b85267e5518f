/// @file
/// How the parts of a router process reach each other: what each is given of the others.

#include <utility>

#include "source/router/router_process.h"

namespace shedlever {

KnowledgeEvents RouterProcess::knowledgeEvents() {
  KnowledgeEvents events;
  events.on_config = [this] { onConfig(); };
  events.on_nodes = [this] { gateway_->setProcesses(directory_.nodes().size()); };
  events.on_owners = [this] { gateway_->onOwnersChanged(); };
  events.on_own_table = [this](const MetadataObject& table) {
    if (keeper_) {
      keeper_->onTableObject(table);
    }
  };
  events.on_complete_list = [this] { onCompleteList(); };
  events.on_own_rows = [this](const TableRows& rows) { return !keeper_ || keeper_->onTableRows(rows); };
  events.ask_table = [this](const NodeName& node, const TableQuestionFrame& question) { links_.tell(node, question); };
  return events;
}

PeerLinks::Events RouterProcess::peerEvents() {
  PeerLinks::Events events;
  events.on_reachable = [this](const NodeName& node, bool reachable) {
    metrics_.onEvent(reachable ? "peer-reached" : "peer-lost");
    log_.write("peer", reachable ? "reached" : "lost", {{"node", node.value}});
    if (!reachable) {
      table_edits_.onLost(node);
    }
  };
  events.on_state_wanted = [this](const NodeName& node) {
    if (const auto state = knowledge_.stateFor(node)) {
      links_.tell(node, *state);
    }
  };
  events.on_lease = [this](const NodeName& node, const HeardLease& lease) {
    knowledge_.noteLease(node, lease.valid_until);
    if (keeper_) {
      keeper_->noteLease(node, lease);
    }
  };
  events.on_table_rows = [this](const NodeName& node, const TableRowsFrame& frame) {
    knowledge_.onTableRows(node, frame.table);
  };
  events.on_news = [this](const NodeName& node, const NewsFrame& news) { news_.onNews(node, news); };
  events.on_table_edited = [this](const TableEditReplyFrame& reply) { table_edits_.onReply(reply); };
  events.on_demands = [this](const DemandsFrame& demands) { demands_.onDemands(demands); };
  return events;
}

NewsExchange::Ports RouterProcess::newsPorts() {
  NewsExchange::Ports ports;
  ports.clock = &clock_;
  ports.directory = &directory_;
  ports.links = &links_;
  ports.knowledge = &knowledge_;
  ports.log = &log_;
  ports.metrics = &metrics_;
  ports.send = [this](FollowerNumber follower, const NewsFrame& frame) { peer_server_->tell(follower, frame); };
  return ports;
}

TableEdits::Ports RouterProcess::tableEditPorts() {
  TableEdits::Ports ports;
  ports.loop = &loop_;
  ports.clock = &clock_;
  ports.directory = &directory_;
  ports.links = &links_;
  ports.log = &log_;
  ports.metrics = &metrics_;
  ports.serves = [this] { return serves(); };
  ports.keeper = [this] { return keeper_.get(); };
  ports.send = [this](std::uint64_t stream, const RouterFrame& frame) { peer_server_->tell(stream, frame); };
  return ports;
}

DemandExchange::Ports RouterProcess::demandPorts() {
  DemandExchange::Ports ports;
  ports.clock = &clock_;
  ports.directory = &directory_;
  ports.links = &links_;
  ports.serves = [this] { return serves(); };
  ports.load = [this] { return gate_.load(); };
  ports.send = [this](std::uint64_t stream, const RouterFrame& frame) { peer_server_->tell(stream, frame); };
  return ports;
}

GatewayDependencies RouterProcess::gatewayPorts() {
  GatewayDependencies ports;
  ports.loop = &loop_;
  ports.clock = &clock_;
  ports.random = &random_;
  ports.protocol = platform_.clients;
  ports.claims = &claims_;
  ports.directory = &directory_;
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

PeerServer::Ports RouterProcess::peerPorts() {
  const auto call_store = [this](StoreCall call, StoreAccess::Callback done) {
    store_access_.callStraight(std::move(call), std::move(done));
  };
  PeerServer::Ports ports;
  ports.self = self_;
  ports.gate = &gate_;
  ports.pacer = &pacer_;
  ports.call_store = call_store;
  ports.on_stopping = [this](const NodeName& node) { directory_.markDraining(node); };
  ports.known = [this] { return known(); };
  ports.answer_table = [this](const TableQuestionFrame& question) { return knowledge_.answerTo(question); };
  ports.on_table_rows = [this](const NodeName& node, const TableRowsFrame& frame) {
    knowledge_.onTableRows(node, frame.table);
  };
  ports.needs_state = [this] { return asksForState(); };
  ports.on_state = [this](const StateFrame& state) { onState(state); };
  ports.on_news_question = [this](FollowerNumber follower, const NewsQuestionFrame& question) {
    news_.onQuestion(follower, question);
  };
  ports.on_table_edit = [this](std::uint64_t stream, const TableEditFrame& edit) { table_edits_.onEdit(stream, edit); };
  ports.on_demands = [this](std::uint64_t stream, const DemandsFrame& demands) { demands_.onTold(stream, demands); };
  ports.on_stream_end = [this](std::uint64_t stream) {
    news_.onFollowerGone(stream);
    demands_.onStreamEnd(stream);
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
  ports.store = store_.get();
  ports.orders = &server_link_;
  ports.clock = &clock_;
  ports.directory = &directory_;
  ports.on_change = [this] {
    loop_.post([this] { gate_.onKeysChanged(); });
    gateway_->onOwnersChanged();
    tickSoon();
  };
  ports.on_given = [this](const TableRows& rows, const std::set<NodeName>& gainers) {
    for (const NodeName& node : gainers) {
      links_.tell(node, TableRowsFrame{rows});
    }
  };
  ports.table_read = [this] { return knowledge_.tablesRead(); };
  ports.edit_elsewhere = [this](const TableDelta& delta, StoreRevision known, FenceToken last_token,
                                std::function<void(const TableEditAnswer&)> answer) {
    return table_edits_.editElsewhere(delta, known, last_token, std::move(answer));
  };
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
  ports.acknowledged = [this] {
    if (keeper_) {
      keeper_->onAcknowledged();
    }
  };
  return ports;
}

}  // namespace shedlever
