#pragma once

/// @file
/// Takes clients' requests and sees each to its one final answer.

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "source/core/router/duration_estimator.h"
#include "source/core/router/owner_view.h"
#include "source/core/router/quarantine/crash_quarantine.h"
#include "source/core/router/request_id_generator.h"
#include "source/core/router/retry_policy.h"
#include "source/core/router/server_directory.h"
#include "source/core/router/traffic_splitter.h"
#include "source/router/gateway_recorder.h"
#include "source/router/gateway_request.h"
#include "source/router/peer_client.h"
#include "source/router/server_gate.h"

namespace shedlever {

/// What the gateway uses; everything outlives it.
struct GatewayPorts {
  EventLoop* loop = nullptr;
  const Clock* clock = nullptr;
  RandomSource* random = nullptr;
  const ClientProtocol* protocol = nullptr;
  /// Null where no route needs idempotency keys.
  ClaimManager* claims = nullptr;
  ServerDirectory* directory = nullptr;
  const CrashQuarantine* quarantine = nullptr;
  ServerGate* gate = nullptr;
  PeerClient* links = nullptr;
  EventLog* log = nullptr;
  RouterMetrics* metrics = nullptr;
  /// @return who owns the key; empty while nobody does, or it is not known.
  std::function<KeyOwner(const ServiceName&, Key)> owner_of;
  /// A reply told who owns some keys.
  std::function<void(const ServiceName&, const OwnerHint&)> on_hint;
  /// A process, of that service's servers, has seen these.
  std::function<void(const NodeName&, const ServiceName&, const KnownRevisions&)> on_known_revisions;
};

class Gateway {
 public:
  /// @param own_service of the server on this machine, where all requests begin.
  Gateway(NodeIdentity self, ServiceName own_service, const RetryBudgetConfig& budget, GatewayPorts ports);

  ~Gateway() { *alive_ = false; }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void setConfig(std::shared_ptr<const RouteTable> routes);
  /// For services whose own settings give no budget.
  void setRetryBudget(const RetryBudgetConfig& budget) { budget_.setConfig(budget); }
  void setProcessCount(std::size_t processes) { budget_.setProcessCount(processes); }

  /// A request has arrived whole.
  void handle(HttpRequest http, const StrictHttpResponder& replier);

  /// An owner table has changed, or a key is newly held: requests that wait for their owner go on.
  void onOwnersChanged();

  /// From now on every new request is refused: this process is about to end.
  void refuseNewRequests() { refusing_ = true; }

  std::size_t inFlight() const { return requests_.size(); }

  /// @return when the last request came; zero before the first.
  TimePoint lastRequestAt() const { return last_request_at_; }

 private:
  using RequestNumber = std::uint64_t;

  using Request = GatewayRequest;

  void refuseAtOnce(const HttpRequest& http, const StrictHttpResponder& replier, const Refusal& refusal);
  void claim(RequestNumber number);
  void onClaim(RequestNumber number, ClaimResult answer);
  void dispatch(RequestNumber number);
  /// Refuses a request that is kept from all servers. @return whether it is.
  bool refuseQuarantined(RequestNumber number);
  void sendTo(RequestNumber number, const NodeName& node, const InstanceId& instance);
  ForwardFrame frameOf(const Request& request, const InstanceId& instance, TimePoint now) const;
  void onReply(RequestNumber number, ForwardReplyFrame reply);
  /// A request goes on, or is given up, that has waited for its key's owner.
  void recordOwnerWait(Request& request, TimePoint now);
  /// @return how long it will still wait, as far as others have.
  Duration expectedOwnerWait(const Request& request, TimePoint now) const;
  void park(RequestNumber number);
  void refuse(RequestNumber number, ForwardReason reason, Duration retry_after);
  void refuseFor(RequestNumber number, Reason reason, Duration retry_after);
  void fail(RequestNumber number, ForwardReason reason);
  /// Ends a request of which an attempt has run, or may have: a refusal would say that none has.
  /// @return whether it was such a request.
  bool endIfPossiblyRun(RequestNumber number);
  void answer(RequestNumber number, HttpResponse response);
  void onDeadline(RequestNumber number);
  void onClientGone(RequestNumber number);
  void cancelAttempt(Request& request);
  void finish(RequestNumber number, HttpResponse response, const char* outcome, ClaimOutcome claim_end);
  /// What is known now of the server that the last attempt went to.
  AttemptInputs inputsOf(const Request& request) const;
  /// @return when to come back: some time after `wanted`, so that not all come at once.
  Duration jitteredRetryAfter(Duration wanted, Duration remaining);

  NodeName self_;
  RequestIdGenerator ids_;
  ServiceName own_service_;
  GatewayPorts ports_;
  GatewayRecorder recorder_;
  SharedRetryBudget budget_;
  RetryPolicy policy_;
  TrafficSplitter traffic_splitter_;
  std::shared_ptr<const RouteTable> routes_;
  bool refusing_ = false;
  TimePoint last_request_at_{};
  /// Of all servers, by route.
  DurationEstimator service_times_;
  /// How long requests waited for their key's owner, by service; noted last at that time.
  DurationEstimator owner_waits_;
  TimePoint owner_wait_recorded_at_{};
  RequestNumber last_number_ = 0;
  std::map<RequestNumber, Request> requests_;
  std::set<RequestNumber> parked_;
  /// Set to false by the destructor, for what the loop still holds.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
