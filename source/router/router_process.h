#pragma once

/// @file
/// The router process of one node: connects all components and handles their events.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "shedlever/metadata_store.h"
#include "shedlever/platform_ports.h"
#include "source/core/router/claims/claim_manager.h"
#include "source/core/router/directory/leaving_notices.h"
#include "source/core/router/directory/server_presence.h"
#include "source/core/router/directory/zone_evacuation.h"
#include "source/core/router/ownership/heartbeat_responder.h"
#include "source/core/router/store/restorable_store.h"
#include "source/net/system_clock_and_random.h"
#include "source/router/cluster_state.h"
#include "source/router/command_recorder.h"
#include "source/router/deferred_acknowledgements.h"
#include "source/router/gateway.h"
#include "source/router/ownership_recorder.h"
#include "source/router/peer_server.h"
#include "source/router/quarantine_coordinator.h"
#include "source/router/server_verifier.h"
#include "source/router/status_pages.h"
#include "source/router/store_client.h"

namespace shedlever {

/// Protocols of the platform; all of them outlive the process.
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

  /// Opens all listeners and starts reading the store.
  /// @return nothing, or a NetworkError.
  leaf::result<void> open();

  /// Stops gracefully: rejects new requests, transfers the keys and finishes requests in flight. Further calls have no
  /// effect.
  /// @param stopped called from the event loop once the process may exit.
  void stop(std::function<void()> stopped);

  /// Endpoints of the listeners, with the actual ports.
  const Endpoint& peersEndpoint() const { return peer_server_->endpoint(); }
  const Endpoint& clientsEndpoint() const { return clients_->endpoint(); }
  const Endpoint& reportsEndpoint() const { return reports_->endpoint(); }
  const Endpoint& readinessEndpoint() const { return readiness_->endpoint(); }

  /// Applies changed settings, as far as a running process can apply them.
  void reload(const RouterSettings& settings);
  /// Reports that the changed settings are invalid; the previous settings stay active.
  void onInvalidSettings(const Findings& findings);

 private:
  /// Runs a step from the event loop after the delay, unless this object was destroyed by then.
  void runAfter(Duration delay, std::function<void()> step);
  /// As `runAfter`, in the next iteration of the event loop.
  void post(std::function<void()> step);
  leaf::result<void> openListeners();
  leaf::result<void> listenForPeers();
  leaf::result<void> listenForClients();
  /// A request was answered without being passed to the gateway.
  void onRequestRejected(int status);
  GatewayPorts gatewayPorts();
  OwnershipPorts ownershipPorts();
  /// Sends a change of the owner table to a node that gains keys by it.
  void sendTransfer(const NodeName& node, const OwnerTableDeltaFrame& delta);
  StatusPages::Ports statusPorts();

  ClusterStateEvents clusterStateEvents();
  void onConfigAdopted();
  void onSynced();
  void onEvacuationsChanged();
  RestorableStore::Events storeEvents();
  void onStoreRestored(StoreEpoch before, StoreEpoch now);
  void onEpochMissing();
  /// Sets the gate's evacuation phase, which also changes when the time for moving keys is over.
  void applyEvacuation();
  void createOwnershipManager();
  KnownRevisions knownRevisions() const;
  /// @return whether to request a snapshot from the peer that has just connected.
  bool shouldRequestSnapshot();
  /// @param requested_at the lease in the snapshot counts from then, because the snapshot may have been on its way for
  ///   seconds.
  void onSnapshot(const ClusterSnapshotFrame& snapshot, TimePoint requested_at);

  NodeStatus status() const;
  RouterGauges levels() const;
  void applyOwnSettings(const RoutedService& own);
  HeartbeatResponder::Ports responderPorts();
  /// The local server may have stated its condition to an earlier process: asks for it, and starts few requests until a
  /// response shows whether the server names a limit.
  void checkServerCondition();
  /// Records that an object or a report could not be decoded and is ignored.
  void onUnreadable(const char* part, const std::string& what);
  void onReportRequest(const HttpRequest& request, const StrictHttpResponder& replier);
  /// Receives whether the report counts, so that its acknowledgement may assign keys.
  using ReportCallback = std::function<void(bool accepted)>;
  void onReport(const ServerReport& report, ReportCallback done);
  void onLeavingReport(const ServerReport& report);
  /// @param received when the report arrived.
  void acknowledge(const ServerReport& report, bool accepted, TimePoint received, const StrictHttpResponder& replier);
  /// Sends the response to a report or an operator. If that is a notice that the server leaves, the response binds the
  /// next process of this node too, so that it waits until the notice is recorded.
  void replyToNotice(const HttpResponse& response, TimePoint received, const StrictHttpResponder& replier);
  /// @return whether the store has acknowledged a record with all notices of the server's instances.
  bool noticesRecorded() const;
  /// Asks the server which instance it is; the report counts only if it comes from that instance.
  void verifyInstance(const ServerReport& report);
  /// @param cause why the report counts, for the log.
  PresenceChange applyReport(const ServerReport& report, const char* cause);
  ServerVerifier::Ports verifierPorts();
  /// @param check the last health check that the instance has answered; null if there is none.
  /// @return whether the report counts.
  bool useVerifiedServer(const ServerReport& report, VerificationGround ground, const HealthCheckResult* check);
  NodeRecordPublisher::Events publisherEvents();
  /// @param record of an earlier process of this node; std::nullopt if it could not be decoded.
  void onEarlierRecord(const std::optional<NodeRecord>& record);
  /// Logs a report that changes nothing, if it is of another instance than the present one.
  void logIgnoredReport(const char* event, const ServerReport& report);
  /// @return whether a cold server's current instance started before this process.
  bool startedBeforeThisProcess(const ServerReport& report) const;
  void logAcknowledgement(const KeyReport& report, const std::optional<KeyAssignment>& keys);
  /// Records whether the server's keys have expired because it stopped reporting.
  void setKeysLapsed(bool lapsed);
  /// @param cause of the notice, for the log.
  /// @param keyed_requests_for how long requests for its keys still reach the server. A restart of the process must not
  ///   begin that time again.
  void onServerDraining(const char* cause, Duration keyed_requests_for);
  /// @return how long a leaving server still gets requests with keys that it holds, while these are handed over.
  Duration keyHandoverTime() const;
  /// The server's address refuses connections.
  void onServerGone(RefusedCall call);
  /// @return whether the instance is known to have crashed, so that its keys need not wait for the end of its grants.
  ///   Only for grants by heartbeat, which last for seconds.
  bool showsCrash(const InstanceId& instance) const;
  /// Reassigns the keys of a server that refuses connections at once if it has crashed.
  void checkCrash(const InstanceId& gone);
  void onServerSilence(bool silent);
  QuarantineCoordinator::Ports quarantinePorts();
  QuotaCoordinator::Ports quotaPorts();
  GateEvents gateEvents();
  PeerClient::Events peerClientEvents();
  /// A peer sent a frame of a kind that this build does not know. @param first on its stream.
  void onUnknownFrame(const NodeName& node, bool first);
  void logStreamFailure(const PeerStreamFailure& failure);
  /// Records a peer's request whose deadline had passed when it arrived.
  void logLateRequest(const NodeName& node, const ForwardFrame& request, Duration lateness);
  void publishRecord();

  void tick();
  void scheduleTick();
  void connectToServicePeers();
  /// Last phase of a stop: notifies peers, transfers the keys and finishes requests in flight.
  void leave();
  /// Exits if possible, otherwise schedules the next check.
  void pollStopCompletion();
  /// @param passed time since the stop began.
  bool mayExit(Duration passed) const;
  bool keysTransferred() const;
  /// Logs what is left when the process ends its work.
  void logStop(const char* event);
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
  /// For the bodies of requests and responses.
  MemoryBudget body_budget_;
  ServerClient server_client_;
  CommandRecorder command_recorder_;
  OwnershipRecorder ownership_recorder_;
  ServerPresence server_;
  LeavingNotices leaving_notices_;
  DeferredAcknowledgements notice_acknowledgements_;
  ServerVerifier verifier_;
  LinkPacer pacer_;
  ServerGate gate_;
  PeerClient peer_client_;
  QuotaCoordinator quota_;
  StoreClient store_client_;
  std::unique_ptr<MetadataStore> platform_store_;
  RestorableStore store_;
  NodeRecordPublisher publisher_;
  ClusterState cluster_state_;
  ZoneEvacuation evacuation_;
  std::unique_ptr<OwnershipManager> ownership_manager_;
  HeartbeatResponder responder_;
  ProcessEndTracker process_ends_;
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
  /// A store response without an epoch was logged.
  bool missing_epoch_logged_ = false;
  std::function<void()> on_stopped_;
  TimePoint config_adopted_at_{};
  /// The server's keys have expired because it stopped reporting.
  bool keys_lapsed_ = false;
  /// The server is being asked which instance it is.
  bool verifying_instance_ = false;
  bool stopping_ = false;
  bool leaving_ = false;
  /// The stop has reached its time limit, and every request has its final response.
  bool requests_ended_ = false;
  TimePoint stop_started_at_{};
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
