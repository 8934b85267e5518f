#pragma once

/// @file
/// Admission control for the local server (the server on this process's node). Every request for the server passes
/// through the gate, which counts slots, queues requests, and starts a request only if the addressed instance is
/// running, is not draining and holds the request's key.

#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "source/core/router/admission/duration_estimator.h"
#include "source/core/router/admission/failure_meter.h"
#include "source/core/router/admission/response_size_estimator.h"
#include "source/core/router/admission/server_limits.h"
#include "source/core/router/admission/slot_queue.h"
#include "source/core/router/directory/crash_evidence.h"
#include "source/core/router/directory/server_reachability.h"
#include "source/core/router/directory/zone_evacuation.h"
#include "source/core/router/ownership/ownership_manager.h"
#include "source/core/router/quarantine/crash_quarantine.h"
#include "source/core/router/quarantine/unanswered_requests.h"
#include "source/net/memory_budget.h"
#include "source/router/gate_recorder.h"
#include "source/router/held_requests.h"
#include "source/router/refused_call.h"
#include "source/router/router_settings.h"
#include "source/router/server_client.h"

namespace shedlever {

/// Backlog of the machine's network link. The gate refuses requests whose large responses the link could not carry in
/// time.
struct LinkBacklog {
  /// @return how long the link needs for its backlog plus `more_bytes`; zero where the link is not a bottleneck.
  std::function<Duration(double more_bytes)> transfer_time;
};

struct GateEvents {
  /// The server's address refuses connections, so the server is certainly not running.
  std::function<void(RefusedCall)> server_gone;
  /// The server has become silent, that is, unresponsive, or responds again.
  std::function<void(bool silent)> silence_changed;
  /// An instance ended that had not announced its shutdown. @param unanswered requests that it may have been
  /// processing.
  std::function<void(const InstanceId& instance, const std::vector<RequestFingerprint>& unanswered)> server_crashed;
  /// The server has said in a response that it is leaving.
  std::function<void()> server_leaving;
  /// The server has answered the request without a server error.
  std::function<void(const RequestFingerprint& request)> served;
};

class ServerGate {
 public:
  /// @param clock, config, server_client, recorder outlive the gate.
  ServerGate(const Clock& clock, const QueueConfig& config, ServerClient& server_client, LinkBacklog machine_link,
             GateRecorder& recorder, GateEvents events);

  /// Sets the source of quarantined requests, which are refused; before, none are. @param quarantine outlives the gate.
  void setQuarantine(const CrashQuarantine& quarantine) { quarantine_ = &quarantine; }
  /// The set of quarantined requests has changed: refuses those of them that are queued.
  void onQuarantineChanged();

  /// Limits the memory of the bodies of requests that wait or run here; before, it is not limited. Requests that don't
  /// fit are refused. @param budget outlives the gate.
  void setBodyBudget(MemoryBudget& budget) { body_budget_ = &budget; }

  /// Sets the source of key ownership; null while the service has no keys.
  void setOwnershipManager(OwnershipManager* manager) { ownership_manager_ = manager; }

  /// Path of the server's health check.
  void setHealthPath(const std::string& path) { health_path_ = path; }
  const std::string& healthPath() const { return health_path_; }

  /// Limits the slots in use, whatever number the server reports.
  void setMaxSlots(std::uint32_t slots);

  /// Handles a server's report that it is running.
  void serverUp(const InstanceId& instance, std::uint32_t slots);
  /// @param per_second request rate limit while the server is cold; 0: limited only by its slots.
  void setColdRate(double per_second);
  /// Sets how much longer the server is cold, from its report.
  void setCold(Duration left);
  /// The server may have become cold: treats it as cold until its next report.
  void assumeCold();
  /// The server may have named a limit to an earlier process: few requests start until a response shows whether it
  /// does.
  void assumeNamedLimitUnknown() { limits_.assumeNamedLimitUnknown(); }
  /// A response of the instance has shown whether it names a limit.
  void onNamedLimitKnown() { limits_.onNamedLimitKnown(); }
  /// Takes into account what the server says about its condition in the response to a command or health check.
  /// @param instance that the command was sent to. @param sent when it was sent.
  void onCondition(const InstanceId& instance, TimePoint sent, const ServerCondition& condition);
  /// The server started before this process: an earlier process may have used up the server's request rate.
  void assumeStartLimitExhausted() { queue_.assumeStartLimitExhausted(clock_.now()); }
  /// The server has ended: refuses queued requests and starts no more.
  void serverEnded();
  /// The server is draining: refuses requests without a key, queued ones included. Requests with a key are still
  /// started until `stopKeyedRequests`.
  void startDraining();
  /// Refuses requests with a key from now on, queued ones included.
  void stopKeyedRequests();
  /// Refuses requests that the evacuation excludes, queued ones included; running requests continue.
  void setEvacuation(EvacuationPhase evacuation);
  EvacuationPhase evacuation() const { return evacuation_; }
  /// Sets the time at which the process exits. From now on only requests with an earlier deadline are started, so that
  /// none is interrupted; queued requests with a later deadline are refused.
  void setProcessEnd(TimePoint end);

  /// Accepts a request for the server.
  /// @param done runs once, from the loop or inside the call, unless the request is cancelled.
  QueueTicket forward(ForwardFrame frame, ForwardCallback done);

  /// The client disconnected or the deadline has passed. A running request that is not repeatable runs to its end.
  void cancel(QueueTicket ticket);

  /// @return whether the request has been sent to the server and has not ended.
  bool isRunning(QueueTicket ticket) const;

  /// @return the load that the requests for the server's keys offer to the server.
  OfferedLoad offeredLoad() const;

  /// Key ownership has changed: retries the requests that are held for it.
  void onKeysChanged();

  /// Refuses requests that have waited too long and probes a silent server. Called about every 25 ms.
  void tick();

  ServerLoad load() const;
  /// @return requests per second that the server takes, as it names them; std::nullopt if it names no limit.
  std::optional<double> namedLimit() const { return limits_.named(); }
  /// @return share of the server's recent requests that failed.
  double failureRatio() const { return failures_.failureRatio(clock_.now()); }
  const InstanceId& instance() const { return instance_; }
  /// @return whether all requests at an instance that refuses connections were lost, which only a crash brings about.
  ///   Ask some time after the first refusal.
  bool lostAllRequests(const InstanceId& instance) const {
    return crash_evidence_.lostAllRequests(instance, clock_.now());
  }
  bool draining() const { return draining_; }
  bool empty() const { return entries_.empty() && held_.empty(); }
  bool silent() const { return reachability_.silent(); }

 private:
  struct Entry {
    ForwardFrame frame;
    ForwardCallback done;
    TimePoint deadline{};
    TimePoint arrived{};
    TimePoint started{};
    bool running = false;
    /// Set when the request is started.
    RequestFingerprint fingerprint;
    /// The request was cancelled; the response is discarded.
    bool abandoned = false;
    HttpExchangeId exchange = 0;
    /// Expected size of a large response in bytes; 0 for other requests.
    double expected_bytes = 0;
  };

  /// @return the load for other processes: a server that may start no request now counts as full.
  ServerLoad reportedLoad() const;
  static QueueRank rankOf(const ForwardFrame& frame, TimePoint arrived);
  /// Refuses the queued requests that are not expected to start in time any more.
  void refuseOverdue();
  void applySlots();
  /// The current instance has ended; another one is running, or none.
  void endInstance();
  /// Updates the records of unanswered requests after a request ended at the server.
  void trackUnanswered(QueueTicket ticket, const Entry& entry, const ServerResult& result);
  static SentRequestEnd endOf(const ServerResult& result);
  void admit(QueueTicket ticket, ForwardFrame frame, ForwardCallback done);
  /// Makes the body of the request count towards the budget until the callback is destroyed.
  ForwardCallback charged(const ForwardFrame& frame, ForwardCallback done);
  /// Holds a request whose key is in transit if it can still be served in time; refuses it otherwise.
  void holdForKey(QueueTicket ticket, ForwardFrame frame, ForwardCallback done);
  /// Starts or refuses a request that is held no longer. @param reason why it must not be started; None if it may be.
  void onReleased(QueueTicket ticket, ForwardFrame frame, ForwardCallback done, ForwardReason reason);
  /// @return whether the key is being transferred to or from the server.
  bool isKeyInTransit(Key key, TimePoint now) const;
  /// @return the first key of the owned range that contains the key; the key itself if there is none.
  Key rangeStartOf(Key key) const;
  /// @return how long the request may wait for a slot and still be served in time; negative if it can't be served in
  /// time.
  Duration maxWait(const ForwardFrame& frame) const;
  /// @param deadline of the request. @return why the request must not be started; None if it may be.
  ForwardReason refusalReason(const ForwardFrame& frame, TimePoint deadline, TimePoint now) const;
  /// @return remaining quarantine of the request; std::nullopt if it is not quarantined.
  std::optional<Duration> quarantineLeft(const ForwardFrame& frame) const;
  /// @return whether the request must not be started because the server's zone is evacuated.
  bool isEvacuated(const ForwardFrame& frame) const;
  /// Refuses the queued requests that satisfy the predicate.
  void refuseQueuedIf(const std::function<bool(const Entry&)>& predicate, ForwardReason reason);
  void startRequest(QueueTicket ticket);
  void onResult(QueueTicket ticket, ServerResult result);
  /// Removes and returns an entry, and subtracts its expected bytes from the total.
  std::optional<Entry> takeEntry(QueueTicket ticket);
  void startQueued();
  void refuseQueued(QueueTicket ticket, GateRefusal refused);
  void refuseAllQueued(ForwardReason reason);
  /// Makes the reply for a refused request and records the refusal.
  ForwardReplyFrame refusal(const ForwardFrame& frame, const GateRefusal& refusal);
  /// Takes into account what the server says about its condition in the response to a request.
  void updateCondition(const Entry& entry, const ServerResult& result);
  void onLimitChange(LimitChange change);
  void updateReachability(const ServerResult& result);
  void recordFailure(const ServerResult& result);
  void probeSilentServer();

  const Clock& clock_;
  const QueueConfig& config_;
  ServerClient& server_client_;
  LinkBacklog machine_link_;
  GateRecorder& recorder_;
  GateEvents events_;
  ResponseSizeEstimator answer_sizes_;
  DurationEstimator service_times_;
  FailureMeter failures_;
  UnansweredRequests unanswered_;
  CrashEvidence crash_evidence_;
  /// Expected response bytes of all entries.
  double expected_bytes_ = 0;
  OwnershipManager* ownership_manager_ = nullptr;
  const CrashQuarantine* quarantine_ = nullptr;
  std::string health_path_ = "/";
  SlotQueue queue_{0};
  std::uint32_t reported_slots_ = 0;
  std::uint32_t max_slots_ = std::numeric_limits<std::uint32_t>::max();
  ServerLimits limits_{queue_};
  InstanceId instance_;
  bool draining_ = false;
  bool keyed_requests_stopped_ = false;
  EvacuationPhase evacuation_ = EvacuationPhase::None;
  /// When the process exits; TimePoint::max() while it is not stopping.
  TimePoint process_end_ = TimePoint::max();
  ServerReachability reachability_;
  MemoryBudget* body_budget_ = nullptr;
  QueueTicket last_ticket_ = 0;
  std::unordered_map<QueueTicket, Entry> entries_;
  HeldRequests held_{clock_};
};

}  // namespace shedlever
