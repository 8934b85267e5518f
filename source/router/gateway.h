#pragma once

/// @file
/// Accepts client requests and sends exactly one final response to each.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "source/core/router/admission/duration_estimator.h"
#include "source/core/router/directory/server_directory.h"
#include "source/core/router/ownership/owner_view.h"
#include "source/core/router/quarantine/crash_quarantine.h"
#include "source/core/router/routes/owner_waits.h"
#include "source/core/router/routes/request_id_generator.h"
#include "source/core/router/routes/retry_delays.h"
#include "source/core/router/routes/retry_policy.h"
#include "source/core/router/routes/traffic_splitter.h"
#include "source/router/gateway_recorder.h"
#include "source/router/gateway_request.h"
#include "source/router/peer_client.h"
#include "source/router/request_permits.h"
#include "source/router/server_gate.h"

namespace shedlever {

/// Dependencies of the gateway; all of them outlive it.
struct GatewayPorts {
  EventLoop* loop = nullptr;
  const Clock* clock = nullptr;
  RandomSource* random = nullptr;
  const ClientProtocol* protocol = nullptr;
  const ServerProtocol* server_protocol = nullptr;
  /// Null if no route needs idempotency keys.
  ClaimManager* claims = nullptr;
  ServerDirectory* directory = nullptr;
  const CrashQuarantine* quarantine = nullptr;
  ServerGate* gate = nullptr;
  PeerClient* peer_client = nullptr;
  /// Null if no tenant has a quota.
  QuotaCoordinator* quota = nullptr;
  EventLog* log = nullptr;
  RouterMetrics* metrics = nullptr;
  /// @return the owner of the key; empty if the key has no owner or the owner is unknown.
  std::function<KeyOwner(const ServiceName&, Key)> owner_of;
  /// Called when a reply contains an owner hint.
  std::function<void(const ServiceName&, const OwnerHint&)> on_hint;
  /// Called with the revisions known to the process of a server of the service.
  std::function<void(const NodeName&, const ServiceName&, const KnownRevisions&)> on_known_revisions;
};

class Gateway {
 public:
  /// @param own_service service of the server on this node, which the gateway's clients belong to.
  Gateway(NodeIdentity self, ServiceName own_service, const RetryBudgetConfig& budget, GatewayPorts ports);

  ~Gateway() { *alive_ = false; }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void setConfig(std::shared_ptr<const RouteTable> routes);
  /// Sets the budget of services whose settings contain none.
  void setRetryBudget(const RetryBudgetConfig& budget) { budget_.setConfig(budget); }
  void setProcessCount(std::size_t process_count) { budget_.setProcessCount(process_count); }

  /// Sets how long a server that says that it is leaving still gets requests for its keys.
  void setKeyHandoverTime(Duration time) { key_handover_time_ = time; }

  /// @return whether a request may run before the earlier ones of its connection have their responses: it changes
  /// nothing,
  ///   so that the order does not matter, and may be repeated if the connection ends first.
  bool mayRunAhead(const HttpRequest& http) const;

  /// Handles a completely received request.
  void handle(HttpRequest http, const StrictHttpResponder& replier);

  /// An owner table has changed or a key has been acquired: retries the requests that wait for an owner.
  void onOwnersChanged();

  /// The nodes of these exchanges have fallen silent: sends repeatable requests to other servers as well, as far as
  /// their retry budgets allow.
  void onSilentRequests(const std::vector<ExchangeId>& exchanges);

  /// Refuses every new request from now on, since this process is about to exit.
  void refuseNewRequests() { refusing_ = true; }

  /// Limits the time of requests, since this process stops. A request that is not expected to have its response by
  /// `end` is refused, and other nodes' servers get no more time than until then for requests that may be repeated.
  void setProcessEnd(TimePoint end) { process_end_ = end; }

  /// Responds to all requests as if their time was over, since this process is about to exit.
  void endRequests();

  std::size_t inFlight() const { return requests_.size(); }

  /// @return arrival time of the last request; zero before the first one.
  TimePoint lastRequestAt() const { return last_request_at_; }

 private:
  using Request = GatewayRequest;

  void refuseAtOnce(const HttpRequest& http, const StrictHttpResponder& replier, const Refusal& refusal);
  RequestPermits::Ports permitPorts();
  void dispatch(RequestNumber number);
  /// Refuses the request if it is quarantined. @return whether it was refused.
  bool refuseQuarantined(RequestNumber number);
  /// Refuses the request if no server is expected to respond before this process ends. @return whether it was refused.
  bool refuseOutlasting(RequestNumber number);
  RequestDemand demandOf(const Request& request, TimePoint now) const;
  /// Refuses the request if a link has no room for it. @return whether it was refused.
  bool refuseForLink(RequestNumber number, const std::optional<LinkShortage>& shortage);
  void sendTo(RequestNumber number, const NodeName& node, const InstanceId& instance);
  /// @param until until when the server may work on the request.
  ForwardFrame frameOf(const Request& request, const InstanceId& instance, TimePoint until) const;
  /// @return when the request's time is over.
  TimePoint endOf(const Request& request) const { return std::min(request.deadline, process_end_); }
  void onReply(RequestNumber number, std::uint32_t attempt_number, ForwardReplyFrame reply);
  /// Updates what is known about the server and its service from a reply.
  void recordReply(const Request& request, const GatewayAttempt& attempt, const ForwardReplyFrame& reply,
                   TimePoint now);
  /// Takes into account what the server of the attempt said about its condition.
  void recordCondition(const GatewayAttempt& attempt, const HttpResponse& response, TimePoint now);
  /// Updates the time after which a server may take the request, from a reply that refuses it.
  void recordRefusal(Request& request, const GatewayAttempt& attempt, const ForwardReplyFrame& reply) const;
  /// @return whether the time for handing over the keys of a leaving server has passed, so that it gets no more
  /// requests.
  bool hasLeft(const InstanceId& instance, TimePoint now) const;
  /// Takes the reply to the attempt at a silent node into account.
  /// @return whether it ends the request; otherwise the current attempt decides.
  bool adoptSilentReply(Request& request, ForwardReplyFrame& reply);
  /// Makes the attempt at a silent node the current one again instead of ending the request.
  /// @return false if there is no such attempt.
  static bool resumeSilentAttempt(Request& request);
  void trySecondServer(RequestNumber number);
  /// Records how long the request waited for its key's owner, if it did.
  void recordOwnerWait(Request& request, TimePoint now);
  void park(RequestNumber number);
  void refuse(RequestNumber number, ForwardReason reason, Duration retry_after);
  void refuseFor(RequestNumber number, Reason reason, Duration retry_after);
  void fail(RequestNumber number, ForwardReason reason);
  /// Ends the request if one of its attempts has run or may have run: a refusal would claim that none has.
  /// @return whether the request was ended.
  bool endIfPossiblyRun(RequestNumber number);
  void answer(RequestNumber number, HttpResponse response);
  void onDeadline(RequestNumber number);
  void onClientGone(RequestNumber number);
  void cancelAttempt(GatewayAttempt& attempt);
  void cancelAttempts(Request& request);
  void finish(RequestNumber number, HttpResponse response, const char* outcome, ClaimOutcome claim_end);
  /// @return what is currently known about the server of the last attempt.
  AttemptInputs inputsOf(const Request& request) const;
  /// @return the retry delay for a refused request. @param wanted delay. @param time_left until its client gives up.
  Duration retryAfter(const Request& request, Duration wanted, Duration time_left);

  NodeName self_;
  RequestIdGenerator ids_;
  ServiceName own_service_;
  GatewayPorts ports_;
  GatewayRecorder recorder_;
  SharedRetryBudget budget_;
  RetryPolicy policy_;
  TrafficSplitter traffic_splitter_;
  std::shared_ptr<const RouteTable> routes_;
  Duration key_handover_time_{};
  bool refusing_ = false;
  TimePoint process_end_ = TimePoint::max();
  TimePoint last_request_at_{};
  /// Service times of all servers, by route.
  DurationEstimator service_times_;
  OwnerWaits owner_waits_;
  RetryDelays retry_delays_;
  RequestNumber last_number_ = 0;
  std::map<RequestNumber, Request> requests_;
  std::set<RequestNumber> parked_;
  RequestPermits permits_;
  /// Set to false by the destructor, for callbacks that are still pending in the event loop.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
