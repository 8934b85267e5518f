#pragma once

/// @file
/// The only way to the server beside this process: counts its slots, queues, and begins a request only if the server
/// is the right one, is not leaving and holds the request's key.

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "source/core/router/duration_estimator.h"
#include "source/core/router/failure_meter.h"
#include "source/core/router/key_wait_estimator.h"
#include "source/core/router/ownership_manager.h"
#include "source/core/router/quarantine/crash_quarantine.h"
#include "source/core/router/quarantine/unanswered_requests.h"
#include "source/core/router/response_size_estimator.h"
#include "source/core/router/slot_queue.h"
#include "source/core/router/zone_evacuation.h"
#include "source/router/gate_recorder.h"
#include "source/router/router_settings.h"
#include "source/router/server_client.h"

namespace shedlever {

/// Where forwarded requests end: at this process's gate or at another's.
using ForwardCallback = std::function<void(ForwardReplyFrame)>;

/// What the machine's link has to carry; the gate refuses large answers that it could not.
struct LinkBacklog {
  /// @return how long the link takes for what waits and so many bytes more; zero where it is never the limit.
  std::function<Duration(double more_bytes)> transfer_time;
};

struct GateEvents {
  /// Nothing listens at the server's address: it is dead for sure.
  std::function<void()> server_gone;
  /// The server has been silent, or answers again.
  std::function<void(bool silent)> silence_changed;
  /// A life of the server has ended that had not said that it leaves. @param unanswered what it may have been at work
  /// on.
  std::function<void(const InstanceId& instance, const std::vector<RequestFingerprint>& unanswered)> server_crashed;
  /// The server has run the request to a good end.
  std::function<void(const RequestFingerprint& request)> served;
};

class ServerGate {
 public:
  /// @param keeper null for a service that is not divided by key. All outlive the gate.
  ServerGate(const Clock& clock, const QueueConfig& config, ServerClient& link, LinkBacklog machine_link,
             GateRecorder& recorder, GateEvents events);

  /// Which requests are not begun; none are kept back before this is set. @param quarantine outlives the gate.
  void setQuarantine(const CrashQuarantine& quarantine) { quarantine_ = &quarantine; }
  /// More requests are quarantined, or fewer: those of them that wait are given back.
  void onQuarantineChanged();

  /// Where the standing of keys is asked; null while the service is not divided by key.
  void setOwnershipManager(OwnershipManager* keeper) { ownership_manager_ = keeper; }

  /// Where the server is asked whether it lives.
  void setHealthPath(const std::string& path) { health_path_ = path; }
  const std::string& healthPath() const { return health_path_; }

  /// However many slots it reports, no more are used.
  void setMaxSlots(std::uint32_t slots);

  /// A server runs, by its own report.
  void serverUp(const InstanceId& instance, std::uint32_t slots);
  /// @param per_second requests that the server bears while it is cold; 0: as many as it has slots for.
  void setColdRate(double per_second);
  /// The server is cold for so much longer, by its own report.
  void setCold(Duration left);
  /// It may have turned cold: taken for cold until its next report.
  void assumeCold();
  /// The server ran before this process did: others may have begun as many requests as it bears.
  void assumeStartsUsedUp() { queue_.assumeStartLimitExhausted(clock_.now()); }
  /// It has ended: nothing more is begun, what waits is given back.
  void serverEnded();
  /// It leaves: nothing more is begun, what waits is given back; keyed requests go on until `stopKeyedRequests`.
  void startDraining();
  /// From now on keyed requests are not begun either.
  void stopKeyedRequests();
  /// What is not to be begun any more is given back; what runs goes on.
  void setEvacuation(EvacuationPhase evacuation);
  EvacuationPhase evacuation() const { return evacuation_; }
  /// The process ends then: from now on only requests are begun whose time is over before that, so that none is cut
  /// while the server works on it. What waits and may outlast it is given back.
  void setProcessEnd(TimePoint end);

  /// Takes a request for the server.
  /// @param done runs from the loop or inside the call, once, unless the request is cancelled.
  QueueTicket forward(ForwardFrame frame, ForwardCallback done);

  /// The client is gone or its time is over. What runs and may not be repeated is left to end.
  void cancel(QueueTicket ticket);

  /// @return whether the request has been sent to the server; false for one that has ended.
  bool isRunning(QueueTicket ticket) const;

  /// @return what the requests for the server's keys ask of it.
  OfferedLoad offeredWork() const;

  /// The standing of keys has changed: requests that are held for it go on.
  void onKeysChanged();

  /// Gives back what has waited too long; notices a silent server. Every 25 ms or so.
  void tick();

  ServerLoad load() const;
  /// @return share of the server's requests that fail of late.
  double failureRatio() const { return failures_.failureRatio(clock_.now()); }
  const InstanceId& instance() const { return instance_; }
  bool draining() const { return draining_; }
  bool empty() const { return entries_.empty() && held_.empty(); }
  bool silent() const { return silent_; }

 private:
  struct Entry {
    ForwardFrame frame;
    ForwardCallback done;
    TimePoint deadline{};
    TimePoint arrived{};
    TimePoint started{};
    bool running = false;
    /// Known once it runs.
    RequestFingerprint fingerprint;
    /// The caller is gone; the answer goes nowhere.
    bool abandoned = false;
    HttpExchangeId exchange = 0;
    /// Bytes of a large answer that is to be expected; 0 for others.
    double expected_bytes = 0;
  };

  /// A keyed request whose key moves, or is not granted yet.
  struct HeldRequest {
    ForwardFrame frame;
    ForwardCallback done;
    TimePoint until{};
    TimePoint deadline{};
  };

  void applySlots();
  void applyColdLimit();
  /// The present life of the server is over; another one runs, or none.
  void endInstance();
  /// What a request's end says of what the server was at work on.
  void trackUnanswered(QueueTicket ticket, const RequestFingerprint& fingerprint, const ServerResult& result);
  void admit(QueueTicket ticket, ForwardFrame frame, ForwardCallback done);
  /// Holds a request whose key is on its way, if it can still be served in time.
  void holdForKey(QueueTicket ticket, ForwardFrame frame, ForwardCallback done);
  void retryHeld(QueueTicket ticket);
  /// @return whether the key is on its way to or from the server.
  bool isKeyInTransit(Key key, TimePoint now) const;
  /// @return the first key of the range that the key lies in.
  Key rangeStartOf(Key key) const;
  /// @return how long the request may wait for a slot and still be served in time; negative if it can't be.
  Duration longestWait(const ForwardFrame& frame) const;
  /// @param deadline when the request's time is over.
  ForwardReason refusalReason(const ForwardFrame& frame, TimePoint deadline, TimePoint now) const;
  /// @return how much longer the request is kept from servers; none if it may be sent.
  std::optional<Duration> quarantineLeft(const ForwardFrame& frame) const;
  /// @return whether the request may not be begun as the server's zone is evacuated.
  bool isEvacuated(const ForwardFrame& frame) const;
  /// Gives back what waits and fits.
  void refuseQueuedIf(const std::function<bool(const Entry&)>& fits, ForwardReason reason);
  void startRequest(QueueTicket ticket);
  void onResult(QueueTicket ticket, ServerResult result);
  /// Takes an entry out, and what it was expected to bring.
  std::optional<Entry> takeEntry(QueueTicket ticket);
  void startQueued();
  void refuseQueued(QueueTicket ticket, ForwardReason reason, Duration retry_after);
  void refuseAllQueued(ForwardReason reason);
  /// Makes a refusal and records what decided it.
  ForwardReplyFrame refusal(const ForwardFrame& frame, ForwardReason reason, Duration retry_after);
  void updateReachability(const ServerResult& result);
  void recordFailure(const ServerResult& result);
  void probeSilentServer(TimePoint now);

  const Clock& clock_;
  const QueueConfig& config_;
  ServerClient& link_;
  LinkBacklog machine_link_;
  GateRecorder& recorder_;
  GateEvents events_;
  ResponseSizeEstimator answer_sizes_;
  DurationEstimator service_times_;
  KeyWaitEstimator key_waits_;
  FailureMeter failures_;
  UnansweredRequests unanswered_;
  /// Sum over all entries.
  double expected_bytes_ = 0;
  OwnershipManager* ownership_manager_ = nullptr;
  const CrashQuarantine* quarantine_ = nullptr;
  std::string health_path_ = "/";
  SlotQueue queue_{0};
  std::uint32_t reported_slots_ = 0;
  std::uint32_t max_slots_ = std::numeric_limits<std::uint32_t>::max();
  /// Requests a second; 0: no limit.
  double cold_rate_ = 0;
  TimePoint cold_until_{};
  InstanceId instance_;
  bool draining_ = false;
  bool keyed_requests_stopped_ = false;
  EvacuationPhase evacuation_ = EvacuationPhase::None;
  /// When the process ends; the end of time while it does not stop.
  TimePoint process_end_ = TimePoint::max();
  bool silent_ = false;
  bool probing_ = false;
  /// Connections in a row that did not come about.
  unsigned failed_connections_ = 0;
  TimePoint last_answer_{};
  QueueTicket last_ticket_ = 0;
  std::unordered_map<QueueTicket, Entry> entries_;
  std::map<QueueTicket, HeldRequest> held_;
};

}  // namespace shedlever
