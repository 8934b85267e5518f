#include "source/router/router_process.h"

#include <algorithm>
#include <utility>

#include "source/core/router/duration_format.h"
#include "source/router/forward_authentication.h"

namespace shedlever {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
/// A process checks the freshness of its cluster state only if a request arrived within this time; an idle process
/// saves the calls and checks within one tick after its next request.
constexpr Duration kRecentRequestWindow = std::chrono::seconds(2);
constexpr Duration kSnapshotRequestInterval = std::chrono::milliseconds(200);

}  // namespace

RouterProcess::RouterProcess(EventLoop& loop, RouterSettings settings, PlatformAdapters platform, int log_descriptor)
    : loop_(loop),
      settings_(std::move(settings)),
      platform_(std::move(platform)),
      self_{settings_.node, Incarnation{wallClockMicroseconds()}},
      log_(loop_, clock_, log_descriptor),
      directory_(settings_.node, settings_.zone, settings_.choice, random_),
      quarantine_(settings_.quarantine, quarantinePorts()),
      gate_recorder_(log_, metrics_),
      body_budget_(settings_.bodyMemoryBytes()),
      server_client_(loop_, self_, settings_.server, *platform_.servers, &body_budget_),
      command_recorder_(server_client_, clock_, log_, metrics_),
      ownership_recorder_(clock_, log_, metrics_),
      server_(settings_.service, settings_.server),
      notice_acknowledgements_([this] { return noticesRecorded(); }),
      verifier_(verifierPorts()),
      pacer_(loop_, clock_, settings_.link),
      gate_(clock_, settings_.queue, server_client_, {[this](double more_bytes) {
              return pacer_.isLimited() ? pacer_.transmissionTime(more_bytes) : Duration::zero();
            }},
            gate_recorder_, gateEvents()),
      peer_client_(loop_, clock_, self_, directory_, peerClientEvents(), &pacer_),
      quota_(self_.name, quotaPorts()),
      store_client_(loop_, clock_, settings_.store, peer_client_, log_, metrics_),
      platform_store_(platform_.make_store(
          [this](const StoreCall& call, StoreClient::Callback done) { store_client_.call(call, std::move(done)); },
          [this](const std::string& kind) { onUnreadable("store", kind); })),
      store_(*platform_store_, storeEvents()),
      publisher_(loop_, store_, log_, publisherEvents()),
      cluster_state_(settings_.node, settings_.service,
                     {&loop_, &clock_, &random_, &store_, platform_.config, &directory_, &log_,
                      settings_.evacuation.enabled(), settings_.config_time_limit},
                     clusterStateEvents()),
      evacuation_(cluster_state_.evacuationsKnown() ? Duration::zero() : settings_.evacuation.time_limit),
      responder_(settings_.ownership.heartbeat_wait, responderPorts()),
      process_ends_(clock_.now()),
      claims_(self_, store_, clock_, process_ends_,
              [this](const NodeIdentity& holder) {
                const NodeRecord* record = directory_.node(holder.name);
                return record == nullptr || record->incarnation <= holder.incarnation;
              }),
      status_pages_(settings_.interface_kind, statusPorts()) {
  gate_.setQuarantine(quarantine_.quarantine());
  directory_.links().setOwnLink([this](double bytes) {
    return pacer_.transmissionTime(static_cast<double>(peer_client_.queuedRequestBytes()) + bytes);
  });
  applyEvacuation();
}

RouterProcess::~RouterProcess() { *alive_ = false; }

void RouterProcess::runAfter(Duration delay, std::function<void()> step) {
  loop_.runAfter(delay, [alive = alive_, step = std::move(step)] {
    if (*alive) {
      step();
    }
  });
}

void RouterProcess::post(std::function<void()> step) {
  loop_.post([alive = alive_, step = std::move(step)] {
    if (*alive) {
      step();
    }
  });
}

leaf::result<void> RouterProcess::open() {
  log_.write("router", "start",
             {{"node", settings_.node.value},
              {"incarnation", std::to_string(self_.incarnation.value)},
              {"zone", settings_.zone.value},
              {"service", settings_.service.value},
              {"version", SHEDLEVER_VERSION},
              {"wire", std::to_string(kNewestWireVersion)}});
  gateway_ = std::make_unique<Gateway>(self_, settings_.service, settings_.retry, gatewayPorts());
  gateway_->setKeyHandoverTime(keyHandoverTime());
  BOOST_LEAF_CHECK(openListeners());
  publishRecord();
  cluster_state_.start();
  runAfter(kTickInterval, [this] { tick(); });
  return {};
}

leaf::result<void> RouterProcess::listenForPeers() {
  const auto call_store = [this](StoreCall call, StoreClient::Callback done) {
    store_client_.callDirectly(std::move(call), std::move(done));
  };
  PeerServer::Ports peer_ports;
  peer_ports.self = self_;
  peer_ports.clock = &clock_;
  peer_ports.gate = &gate_;
  peer_ports.pacer = &pacer_;
  peer_ports.on_parts_refused = [this](const NodeName& node, std::size_t held_bytes) {
    metrics_.onEvent("peer-parts-refused");
    if (log_.mayWriteAttempt()) {
      log_.write("peer", "parts-refused", {{"node", node.value}, {"held_bytes", std::to_string(held_bytes)}});
    }
  };
  peer_ports.call_store = call_store;
  peer_ports.on_stopping = [this](const NodeName& node) { directory_.markDraining(node); };
  peer_ports.known_revisions = [this] { return knownRevisions(); };
  peer_ports.answer_table_request = [this](const OwnerTableRequestFrame& request) {
    return cluster_state_.owners().answerRequest(request);
  };
  peer_ports.config_newer_than = [this](ConfigVersion known) { return cluster_state_.configNewerThan(known); };
  peer_ports.on_owner_table_delta = [this](const NodeName& node, const OwnerTableDeltaFrame& delta) {
    cluster_state_.owners().onDelta(node, delta);
  };
  peer_ports.needs_snapshot = [this] { return shouldRequestSnapshot(); };
  peer_ports.on_snapshot = [this](const auto& snapshot, TimePoint requested_at) { onSnapshot(snapshot, requested_at); };
  peer_ports.server_crashes = [this] { return quarantine_.summary(); };
  peer_ports.on_server_crashes = [this](const ServerCrashesFrame& crashes) { quarantine_.onCrashesFrame(crashes); };
  peer_ports.on_unknown_frame = [this](const NodeName& node, bool first) { onUnknownFrame(node, first); };
  peer_ports.on_late_request = [this](const NodeName& node, const ForwardFrame& request, Duration lateness) {
    logLateRequest(node, request, lateness);
  };
  peer_ports.answer_quota_request = [this](const QuotaRequestFrame& question) { return quota_.answer(question); };
  peer_ports.on_placement_plan = [this](const NodeName& node, const PlacementPlanFrame& plan) {
    if (ownership_manager_) {
      ownership_manager_->onPlacementPlan(node, plan);
    }
  };
  peer_ports.write_table_edits = [this](const TableEditsFrame& edits, const auto& reply) {
    if (ownership_manager_ && edits.service == settings_.service) {
      ownership_manager_->onTableEdits(edits, reply);
    } else {
      reply({edits.exchange, false, {}, {}});
    }
  };
  peer_ports.authenticate = [this](ForwardFrame& frame) {
    const auto& routes = cluster_state_.routes();
    return routes == nullptr || authenticateForwarded(frame, *routes, *platform_.clients);
  };
  peer_ports.on_sent = [this](const RouterFrame& frame, std::size_t bytes) { metrics_.onFrameSent(frame, bytes); };
  BOOST_LEAF_AUTO(peers, PeerServer::listen(loop_, settings_.peers_listen, std::move(peer_ports)));
  peer_server_ = std::move(peers);
  // A port chosen by the kernel is not known earlier.
  if (settings_.peers_advertised.port == 0) {
    settings_.peers_advertised = peer_server_->endpoint();
  }
  return {};
}

leaf::result<void> RouterProcess::listenForClients() {
  const auto on_client = [this](HttpRequest request, const StrictHttpResponder& replier) {
    gateway_->handle(std::move(request), replier);
  };
  BOOST_LEAF_AUTO(clients, StrictHttpServer::listen(loop_, settings_.clients_listen, {}, on_client, &pacer_));
  clients_ = std::move(clients);
  clients_->setBodyBudget(body_budget_);
  gate_.setBodyBudget(body_budget_);
  clients_->setMayRunAhead([this](const HttpRequest& request) { return gateway_->mayRunAhead(request); });
  clients_->onRejected([this](int status) { onRequestRejected(status); });
  return {};
}

void RouterProcess::onRequestRejected(int status) {
  constexpr int kUnavailable = 503;
  const char* event = status == kUnavailable ? "no-memory-for-body" : "unreadable-request";
  metrics_.onEvent(event);
  if (log_.mayWriteFailed()) {
    log_.write("clients", event,
               {{"status", std::to_string(status)}, {"body_memory_used", std::to_string(body_budget_.used())}});
  }
}

leaf::result<void> RouterProcess::openListeners() {
  const auto on_readiness = [this](const HttpRequest& request, const StrictHttpResponder& replier) {
    const HttpResponse response = status_pages_.answer(request);
    if (request.method == "POST") {
      replyToNotice(response, clock_.now(), replier);
    } else {
      replier.reply(response);
    }
  };
  const auto on_report = [this](const HttpRequest& request, const StrictHttpResponder& replier) {
    onReportRequest(request, replier);
  };
  BOOST_LEAF_CHECK(listenForPeers());
  BOOST_LEAF_CHECK(listenForClients());
  BOOST_LEAF_AUTO(readiness, StrictHttpServer::listen(loop_, settings_.readiness_listen, {}, on_readiness));
  readiness_ = std::move(readiness);
  BOOST_LEAF_AUTO(reports, StrictHttpServer::listen(loop_, settings_.reports_listen, {}, on_report));
  reports_ = std::move(reports);
  return {};
}

void RouterProcess::createOwnershipManager() {
  ownership_manager_ =
      std::make_unique<OwnershipManager>(self_, settings_.service, settings_.ownership, ownershipPorts());
  gate_.setOwnershipManager(ownership_manager_.get());
  cluster_state_.owners().setOwnTable(&ownership_manager_->tableWriter());
  if (const MetadataObject* table = cluster_state_.owners().ownTableObject()) {
    ownership_manager_->onTableObject(*table);
  } else if (cluster_state_.synced()) {
    ownership_manager_->onTableAbsent();
  }
  if (!server_.instance().empty()) {
    ownership_manager_->serverUp(server_.instance(), InstanceEnd::Suspected, clock_.now());
  }
  ownership_manager_->setEvacuated(evacuation_.evacuated());
  if (server_.draining() || leaving_) {
    ownership_manager_->startDraining();
  }
}

// Store and peers.

void RouterProcess::onConfigAdopted() {
  const std::shared_ptr<const RouteTable>& routes = cluster_state_.routes();
  gateway_->setConfig(routes);
  const std::vector<Route>& all_routes = routes->config().routes;
  const auto needs_claims = [](const Route& route) { return route.needs_idempotency_key; };
  if (std::any_of(all_routes.begin(), all_routes.end(), needs_claims)) {
    claims_.enable();
  }
  const ClientLimits& limits = routes->config().limits;
  clients_->setLimits({limits.header_bytes, limits.body_bytes, limits.header_timeout, limits.idle_timeout});
  metrics_.onEvent("config-adopted");
  config_adopted_at_ = clock_.now();
  const RoutedService* own = routes->service(settings_.service);
  if (own == nullptr) {
    return;
  }
  gate_.setHealthPath(own->health_path);
  gate_.setColdRate(own->cold_requests_per_second);
  applyOwnSettings(*own);
  if (own->divided_by_key && !ownership_manager_) {
    createOwnershipManager();
  }
}

void RouterProcess::applyOwnSettings(const RoutedService& own) {
  if (!own.settings) {
    return;
  }
  const auto override = own.settings->backend_overrides.find(settings_.node);
  const BackendSettings& backend =
      override == own.settings->backend_overrides.end() ? own.settings->backend : override->second;
  gate_.setMaxSlots(backend.slots);
  gate_.setHealthPath(backend.health_path);
}

void RouterProcess::onStoreRestored(StoreEpoch before, StoreEpoch now) {
  log_.write("store", "restored", {{"era", std::to_string(now)}, {"before", std::to_string(before)}});
  metrics_.onEvent("store-restored");
  cluster_state_.onStoreRestored();
  claims_.onStoreRestored();
  scheduleTick();
}

void RouterProcess::onEpochMissing() {
  metrics_.onEvent("store-era-untold");
  if (!std::exchange(missing_epoch_logged_, true)) {
    log_.write("store", "epoch-missing", {{"assumed", std::to_string(store_.epoch())}});
  }
}

void RouterProcess::onEvacuationsChanged() {
  const bool was_evacuated = evacuation_.evacuated();
  if (!evacuation_.update(cluster_state_.evacuations().contains(settings_.zone), clock_.now())) {
    return;
  }
  if (evacuation_.evacuated() != was_evacuated) {
    log_.write("evacuation", was_evacuated ? "over" : "begins", {{"zone", settings_.zone.value}});
  }
  if (was_evacuated) {
    // A server without requests may have become cold.
    gate_.assumeCold();
  }
  if (ownership_manager_) {
    ownership_manager_->setEvacuated(evacuation_.evacuated());
  }
  applyEvacuation();
  scheduleTick();
}

void RouterProcess::applyEvacuation() {
  const EvacuationPhase phase = evacuation_.phase(clock_.now());
  if (phase != gate_.evacuation()) {
    gate_.setEvacuation(phase);
  }
}

void RouterProcess::onSynced() {
  if (ownership_manager_ && !ownership_manager_->tableWriter().exists()) {
    ownership_manager_->onTableAbsent();
  }
}

KnownRevisions RouterProcess::knownRevisions() const {
  KnownRevisions revisions = cluster_state_.knownRevisions();
  const TimePoint now = clock_.now();
  if (ownership_manager_ && ownership_manager_->reportedLeaseUntil() > now) {
    revisions.lease_left_us = (ownership_manager_->reportedLeaseUntil() - now).count();
    revisions.lease_revision = ownership_manager_->leaseRevision();
  }
  return revisions;
}

bool RouterProcess::shouldRequestSnapshot() {
  const TimePoint now = clock_.now();
  if (ready() || stopping_ || now < next_snapshot_request_at_) {
    return false;
  }
  // Many peers connect at about the same time; one snapshot is enough.
  next_snapshot_request_at_ = now + kSnapshotRequestInterval;
  return true;
}

void RouterProcess::onSnapshot(const ClusterSnapshotFrame& snapshot, TimePoint requested_at) {
  if (ready() || stopping_) {
    return;
  }
  cluster_state_.applySnapshot(snapshot);
  if (ownership_manager_) {
    ownership_manager_->inheritLease(requested_at + Duration(snapshot.lease_left_us));
  }
  scheduleTick();
}

// Timers.

void RouterProcess::scheduleTick() {
  if (tick_scheduled_ || !ownership_manager_) {
    return;
  }
  tick_scheduled_ = true;
  post([this] {
    tick_scheduled_ = false;
    ownership_manager_->tick(clock_.now());
    responder_.respondIfDue();
  });
}

void RouterProcess::tick() {
  applyEvacuation();
  gate_.tick();
  quarantine_.tick();
  verifier_.tick();
  notice_acknowledgements_.sendDue(clock_.now());
  claims_.tick(clock_.now());
  if (clock_.now() - gateway_->lastRequestAt() < kRecentRequestWindow) {
    cluster_state_.tick();
  }
  if (ownership_manager_) {
    ownership_manager_->setOfferedLoad(gate_.offeredLoad());
    ownership_manager_->setFailureRatio(gate_.failureRatio());
    ownership_manager_->tick(clock_.now());
    responder_.respondIfDue();
    setKeysLapsed(ownership_manager_->serverGrantsLapsed(clock_.now()));
    connectToServicePeers();
  }
  runAfter(kTickInterval, [this] { tick(); });
}

void RouterProcess::connectToServicePeers() {
  for (const OwnedRange& range : ownership_manager_->tableWriter().table().ranges()) {
    if (range.node != self_.name) {
      peer_client_.ensureConnected(range.node);
    }
  }
  // Keys are only assigned to connected nodes, so nodes without keys are connected as well.
  for (const NodeRecord* record : directory_.availableServers(settings_.service)) {
    if (record->node != self_.name) {
      peer_client_.ensureConnected(record->node);
    }
  }
}

bool RouterProcess::ready() const { return cluster_state_.complete() && !stopping_; }

void RouterProcess::reload(const RouterSettings& settings) {
  settings_.retry = settings.retry;
  settings_.ownership = settings.ownership;
  settings_.queue = settings.queue;
  settings_.stop = settings.stop;
  quarantine_.setConfig(settings.quarantine);
  gateway_->setRetryBudget(settings_.retry);
  gateway_->setKeyHandoverTime(keyHandoverTime());
  log_.write("settings", "reloaded", {});
}

void RouterProcess::onInvalidSettings(const Findings& findings) {
  log_.write("settings", "not-understood", {{"findings", toString(findings)}});
}

}  // namespace shedlever
