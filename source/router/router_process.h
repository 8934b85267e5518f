#pragma once

/// @file
/// One router process beside one server: all parts wired together.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "shedlever/metadata_store.h"
#include "shedlever/platform_ports.h"
#include "source/core/router/claim_manager.h"
#include "source/core/router/heartbeat_responder.h"
#include "source/core/router/restorable_store.h"
#include "source/core/router/server_presence.h"
#include "source/core/router/zone_evacuation.h"
#include "source/net/system_sources.h"
#include "source/router/cluster_state.h"
#include "source/router/gateway.h"
#include "source/router/peer_server.h"
#include "source/router/quarantine_coordinator.h"
#include "source/router/status_pages.h"
#include "source/router/store_client.h"

namespace shedlever {

/// The platform as this process meets it; all outlive the process.
struct PlatformAdapters {
  const ClientProtocol* clients = nullptr;
  const ServerProtocol* servers = nullptr;
  const ReportProtocol* reports = nullptr;
  const ConfigProtocol* config = nullptr;
  StoreFactory make_store;
};

class RouterProcess {
 public:
  RouterProcess(EventLoop& loop, RouterSettings settings, PlatformAdapters platform, int log_descriptor);
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  /// Opens all listeners and begins to read the store.
  leaf::result<void> open();

  /// Stops in order: takes no new work, hands keys over, finishes what is in flight.
  /// @param stopped runs from the loop once the process may end; of several calls the first counts.
  void stop(std::function<void()> stopped);

  /// Where clients and other nodes reach this process, with the ports in use.
  const Endpoint& clientsEndpoint() const { return clients_->endpoint(); }
  const Endpoint& reportsEndpoint() const { return reports_->endpoint(); }
  const Endpoint& readinessEndpoint() const { return readiness_->endpoint(); }

  /// The settings have changed; what can change in a running process is taken over.
  void reload(const RouterSettings& settings);
  /// They have changed and can't be used: the ones before stay in force.
  void onInvalidSettings(const Findings& findings);

 private:
  /// Runs a step from the loop, later or next, unless this object is gone by then.
  void runAfter(Duration delay, std::function<void()> step);
  void post(std::function<void()> step);
  leaf::result<void> openListeners();
  GatewayPorts gatewayPorts();
  OwnershipPorts ownershipPorts();
  StatusPages::Ports statusPorts();

  ClusterStateEvents clusterStateEvents();
  void onConfigAdopted();
  void onSynced();
  void onEvacuationsChanged();
  RestorableStore::Events storeEvents();
  void onStoreRestored(StoreEpoch before, StoreEpoch now);
  void onEpochMissing();
  /// Tells the gate what it may begin; also once the time for moving keys is over.
  void applyEvacuation();
  void createOwnershipManager();
  KnownRevisions knownRevisions() const;
  /// @return whether to ask the process that has just connected for what it knows.
  bool shouldRequestSnapshot();
  void onState(const ClusterSnapshotFrame& state);

  NodeStatus status() const;
  RouterGauges levels() const;
  void applyOwnSettings(const RoutedService& own);
  HeartbeatResponder::Ports responderPorts();
  /// What another has written or sent is left out, as it can't be read.
  void onUnreadable(const char* part, const std::string& what);
  void onReportRequest(const HttpRequest& request, const StrictHttpResponder& replier);
  PresenceChange onReport(const ServerReport& report);
  /// Asks the server which life it is; the report counts only if it is of that one.
  void verifyInstance(const ServerReport& report);
  PresenceChange applyReport(const ServerReport& report);
  /// @return whether a cold server's present life began before this process did.
  bool startedBeforeThisProcess(const ServerReport& report) const;
  void logAcknowledgement(const KeyReport& report, const std::optional<KeyAssignment>& keys);
  /// The server's keys have run out since nothing was heard of it, or it was heard again.
  void setKeysLapsed(bool lapsed);
  void onServerDraining();
  void onServerGone();
  void onServerSilence(bool silent);
  QuarantineCoordinator::Ports quarantinePorts();
  GateEvents gateEvents();
  PeerClient::Events peerClientEvents();
  void publishRecord();

  void tick();
  void scheduleTick();
  void connectToServicePeers();
  /// The last part of a stop: others are told, keys go to them, what is in flight ends.
  void leave();
  void pollStopCompletion();
  bool ready() const;

  EventLoop& loop_;
  RouterSettings settings_;
  PlatformAdapters platform_;
  BootTimeClock clock_;
  SystemRandom random_;
  NodeIdentity self_;
  EventLog log_;
  RouterMetrics metrics_;
  ServerDirectory directory_;
  QuarantineCoordinator quarantine_;
  GateRecorder gate_recorder_;
  ServerClient server_link_;
  ServerPresence server_;
  LinkPacer pacer_;
  ServerGate gate_;
  PeerClient peer_client_;
  StoreClient store_client_;
  std::unique_ptr<MetadataStore> platform_store_;
  RestorableStore store_;
  NodeRecordPublisher publisher_;
  ClusterState cluster_state_;
  ZoneEvacuation evacuation_;
  std::unique_ptr<OwnershipManager> ownership_manager_;
  HeartbeatResponder responder_;
  ClaimManager claims_;
  StatusPages status_pages_;
  std::unique_ptr<Gateway> gateway_;
  std::unique_ptr<PeerServer> peer_server_;
  std::unique_ptr<StrictHttpServer> clients_;
  std::unique_ptr<StrictHttpServer> readiness_;
  std::unique_ptr<StrictHttpServer> reports_;

  TimePoint started_at_ = clock_.now();
  TimePoint next_snapshot_request_at_{};

  bool tick_scheduled_ = false;
  /// An answer of the store has told no epoch, which has been logged.
  bool missing_epoch_logged_ = false;
  std::function<void()> on_stopped_;
  TimePoint config_adopted_at_{};
  /// The server's keys have run out since it was not heard of.
  bool keys_lapsed_ = false;
  /// The server is being asked which life it is.
  bool verifying_instance_ = false;
  bool stopping_ = false;
  bool leaving_ = false;
  TimePoint stop_started_at_{};
  /// Set to false by the destructor, for what the loop still holds.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
