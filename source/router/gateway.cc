#include "source/router/gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/core/http_syntax.h"
#include "source/core/router/quarantine/fingerprint.h"
#include "source/net/http_headers.h"

namespace shedlever {

namespace {

/// Limits the attempts for one request whose key is transferred repeatedly.
constexpr std::uint32_t kMaxAttempts = 8;
/// A parked request is retried after this interval even if no change of owner was reported.
constexpr Duration kParkedRetryInterval = std::chrono::milliseconds(40);
/// Roughly the time for which a process is unavailable while it starts or stops.
constexpr Duration kUnavailableRetryAfter = std::chrono::milliseconds(500);
/// Retry delay for a route that could not be decoded: only the operator's next version may change that.
constexpr Duration kInvalidRouteRetryAfter = std::chrono::seconds(5);
constexpr int kFirstServerError = 500;

/// Removes a response that breaks HTTP's syntax, which peers of earlier builds pass on. The server may have run the
/// request.
void dropBrokenResponse(ForwardReplyFrame& reply) {
  if (reply.outcome != ForwardOutcome::Answered || isValidHttpResponse(reply.http)) {
    return;
  }
  reply.outcome = ForwardOutcome::Unknown;
  reply.reason = ForwardReason::BrokenAnswer;
  reply.reached_server = true;
  reply.http = {};
}

}  // namespace

Gateway::Gateway(NodeIdentity self, ServiceName own_service, const RetryBudgetConfig& budget, GatewayPorts ports)
    : self_(self.name),
      ids_(self),
      own_service_(std::move(own_service)),
      ports_(std::move(ports)),
      recorder_(*ports_.clock, *ports_.log, *ports_.metrics),
      budget_(budget),
      policy_(budget_),
      traffic_splitter_(static_cast<std::size_t>(ports_.random->next())),
      retry_delays_(*ports_.random),
      permits_(permitPorts()) {}

void Gateway::setConfig(std::shared_ptr<const RouteTable> routes) {
  routes_ = std::move(routes);
  for (const auto& [name, service] : routes_->config().services) {
    if (service.settings) {
      const RetrySettings& retry = service.settings->retry;
      budget_.setServiceConfig(name, {retry.budget_ratio, static_cast<double>(retry.budget_slack)});
    }
  }
}

void Gateway::refuseAtOnce(const HttpRequest& http, const StrictHttpResponder& replier, const Refusal& refusal) {
  replier.reply(ports_.protocol->makeRefusalResponse(refusal));
  recorder_.refusedAtOnce(http, refusal.id, refusal.reason, routes_ ? routes_->version() : 0);
}

bool Gateway::mayRunAhead(const HttpRequest& http) const {
  const Route* route = routes_ ? routes_->find(headerValue(http.headers, "host"), http.target) : nullptr;
  const bool is_safe = http.method == "GET" || http.method == "HEAD";
  return is_safe && route != nullptr && isRepeatable(route->kind);
}

void Gateway::handle(HttpRequest http, const StrictHttpResponder& replier) {
  const TimePoint now = ports_.clock->now();
  last_request_at_ = now;
  RequestId id = ports_.protocol->requestIdOf(http);
  if (id.empty()) {
    id = ids_.idOf(ids_.next());
  }
  if (!routes_ || refusing_) {
    const Reason reason = refusing_ ? Reason::ShuttingDown : Reason::ServerUnavailable;
    refuseAtOnce(http, replier, {id, Outcome::NotRun, reason, retry_delays_.nextWithoutLimit(kUnavailableRetryAfter)});
    return;
  }
  const Route* route = routes_->find(headerValue(http.headers, "host"), http.target);
  if (route == nullptr) {
    refuseAtOnce(http, replier, {id, Outcome::NotRun, Reason::UnknownService, {}});
    return;
  }
  if (route->shares.empty()) {
    refuseAtOnce(http, replier, {id, Outcome::NotRun, Reason::ServerUnavailable, kInvalidRouteRetryAfter});
    return;
  }
  const ServiceName& chosen = traffic_splitter_.pick(*route);
  const RoutedService* service = routes_->service(chosen);
  ClientRequestInfo info = ports_.protocol->readRequestInfo(http, *route, service, routes_->tenantKeys());
  if (info.refusal != Reason::None) {
    refuseAtOnce(http, replier, {id, Outcome::NotRun, info.refusal, {}});
    return;
  }
  const RequestNumber number = ++last_number_;
  Request& request = requests_.emplace(number, Request(std::move(http), replier, routes_)).first->second;
  ports_.protocol->removeRouterHeaders(request.http, routes_->tenantKeys());
  request.route = route;
  request.service = chosen;
  request.id = std::move(id);
  request.info = std::move(info);
  request.keyed = service != nullptr && service->divided_by_key && request.info.key.has_value();
  request.arrived = now;
  const Duration hold = std::min(request.info.time_left.value_or(route->timeout), route->timeout);
  request.deadline = now + hold;
  request.timer = ports_.loop->runAfter(hold, [this, alive = alive_, number] {
    if (*alive) {
      onDeadline(number);
    }
  });
  replier.onDisconnect([this, number] { onClientGone(number); });
  budget_.onRequest(request.service);
  if (refuseQuarantined(number)) {
    return;
  }
  permits_.obtain(number);
}

RequestPermits::Ports Gateway::permitPorts() {
  RequestPermits::Ports ports;
  ports.quota = ports_.quota;
  ports.claims = ports_.claims;
  ports.server_protocol = ports_.server_protocol;
  ports.find = [this](RequestNumber number) {
    const auto found = requests_.find(number);
    return found == requests_.end() ? nullptr : &found->second;
  };
  ports.on_granted = [this](RequestNumber number) { dispatch(number); };
  ports.on_refused = [this](RequestNumber number, const PermitRefusal& refusal) {
    refuseFor(number, refusal.reason, refusal.retry_after);
  };
  ports.on_recorded = [this](RequestNumber number, HttpResponse response) {
    // The recorded response belongs to an earlier request; the id must be that of this request.
    ports_.protocol->finalizeResponse(response, requests_.at(number).id);
    finish(number, std::move(response), "recorded", ClaimOutcome::NotRun);
  };
  return ports;
}

bool Gateway::refuseQuarantined(RequestNumber number) {
  if (!ports_.quarantine->isActive()) {
    return false;
  }
  const RequestFingerprint fingerprint = fingerprintOf(requests_.at(number).http);
  const std::optional<Duration> left = ports_.quarantine->remainingTime(fingerprint, ports_.clock->now());
  if (left) {
    refuse(number, ForwardReason::Quarantined, *left);
  }
  return left.has_value();
}

bool Gateway::refuseOutlasting(RequestNumber number) {
  const Duration expected = service_times_.expected(requests_.at(number).route->name, Duration::zero());
  const bool outlasts = expected > process_end_ - ports_.clock->now();
  if (outlasts) {
    refuseFor(number, Reason::ShuttingDown, kUnavailableRetryAfter);
  }
  return outlasts;
}

void Gateway::dispatch(RequestNumber number) {
  if (refuseQuarantined(number) || refuseOutlasting(number)) {
    return;
  }
  Request& request = requests_.at(number);
  const TimePoint now = ports_.clock->now();
  request.parked = false;
  if (!request.keyed) {
    const RequestDemand demand = demandOf(request, now);
    const NodeRecord* server =
        ports_.directory->choose(request.service, request.route->kind, request.tried_instances, now, demand);
    if (server == nullptr) {
      if (refuseForLink(number,
                        ports_.directory->linkShortage(request.service, request.tried_instances, now, demand))) {
        return;
      }
      const ForwardReason reason =
          request.last_reason == ForwardReason::None ? ForwardReason::NoInstance : request.last_reason;
      refuse(number, reason, kMinRetryAfter);
      return;
    }
    sendTo(number, server->node, server->instance);
    return;
  }
  const KeyOwner owner = ports_.owner_of(request.service, *request.info.key);
  const bool reachable = owner.node == self_ || !ports_.directory->isUnreachable(owner.node);
  if (!owner.instance.empty() && !reachable) {
    // The peer is retried after half a second; a new owner is assigned only after seconds.
    refuse(number, ForwardReason::ServerDown, kUnavailableRetryAfter);
    return;
  }
  const bool has_owner = !owner.instance.empty() && !hasLeft(owner.instance, now);
  if (!has_owner || request.attempts >= kMaxAttempts) {
    request.last_reason = has_owner ? request.last_reason : ForwardReason::NotYetOwner;
    park(number);
    return;
  }
  recordOwnerWait(request, now);
  if (!refuseForLink(number, ports_.directory->linkShortageAt(owner.node, now, demandOf(request, now)))) {
    sendTo(number, owner.node, owner.instance);
  }
}

RequestDemand Gateway::demandOf(const Request& request, TimePoint now) const {
  return {request.http.body.size(), endOf(request) - now, request.route->name};
}

bool Gateway::refuseForLink(RequestNumber number, const std::optional<LinkShortage>& shortage) {
  if (shortage) {
    recorder_.linkFull(requests_.at(number), *shortage);
    refuse(number, ForwardReason::Overloaded, shortage->wait);
  }
  return shortage.has_value();
}

ForwardFrame Gateway::frameOf(const Request& request, const InstanceId& instance, TimePoint until) const {
  const TimePoint now = ports_.clock->now();
  ForwardFrame frame;
  frame.id = request.id;
  frame.instance = instance;
  frame.route = request.route->name;
  frame.kind = request.route->kind;
  frame.priority = request.info.priority.value_or(request.route->priority);
  frame.keyed = request.keyed;
  frame.key = request.info.key.value_or(0);
  frame.remaining_us = (until - now).count();
  frame.target_us = request.route->target_latency.count();
  frame.elapsed_us = (now - request.arrived).count();
  frame.caller = own_service_;
  frame.tenant = request.info.tenant;
  frame.http = request.http;
  return frame;
}

void Gateway::sendTo(RequestNumber number, const NodeName& node, const InstanceId& instance) {
  Request& request = requests_.at(number);
  const bool local = node == self_;
  // The local gate itself refuses requests that may outlast this process. A run that must not be repeated is not cut
  // short: it may as well finish after the client has got its response.
  const bool limited = !local && isRepeatable(request.route->kind);
  ForwardFrame frame = frameOf(request, instance, limited ? endOf(request) : request.deadline);
  const std::uint32_t attempt_number = ++request.attempts;
  request.attempt = {node, instance, local, attempt_number, 0, true};
  ports_.directory->onRequestSent(node);
  const auto done = [this, number, attempt_number](ForwardReplyFrame reply) {
    onReply(number, attempt_number, std::move(reply));
  };
  const std::uint64_t handle =
      local ? ports_.gate->forward(std::move(frame), done) : ports_.peer_client->forward(node, std::move(frame), done);
  // The reply may have arrived inside the call and have ended the request or started the next attempt.
  const auto found = requests_.find(number);
  if (found != requests_.end() && found->second.attempt.open && found->second.attempt.number == attempt_number) {
    found->second.attempt.handle = handle;
  }
}

void Gateway::onSilentRequests(const std::vector<ExchangeId>& exchanges) {
  std::vector<RequestNumber> affected;
  for (const auto& [number, request] : requests_) {
    const GatewayAttempt& attempt = request.attempt;
    const bool is_silent = attempt.open && !attempt.local &&
                           std::find(exchanges.begin(), exchanges.end(), attempt.handle) != exchanges.end();
    if (is_silent && !request.silent_attempt) {
      affected.push_back(number);
    }
  }
  for (const RequestNumber number : affected) {
    if (requests_.contains(number)) {
      trySecondServer(number);
    }
  }
}

void Gateway::trySecondServer(RequestNumber number) {
  Request& request = requests_.at(number);
  const TimePoint now = ports_.clock->now();
  std::set<InstanceId> tried = request.tried_instances;
  tried.insert(request.attempt.instance);
  const NodeRecord* server = request.keyed ? nullptr
                                           : ports_.directory->choose(request.service, request.route->kind, tried, now,
                                                                      demandOf(request, now));
  const AttemptState state{request.route, request.service, request.keyed, request.reached + 1, endOf(request) - now};
  if (server == nullptr || !policy_.mayAddAttempt(state)) {
    return;
  }
  ForwardReplyFrame silence;
  silence.reason = ForwardReason::ConnectionLost;
  recorder_.attemptEnded(request, silence, RetryDecision::TryAnother, inputsOf(request));
  ++request.reached;
  request.attempt.counted = true;
  request.tried_instances = std::move(tried);
  request.silent_attempt = request.attempt;
  sendTo(number, server->node, server->instance);
}

bool Gateway::resumeSilentAttempt(Request& request) {
  if (!request.silent_attempt) {
    return false;
  }
  request.attempt = *std::exchange(request.silent_attempt, std::nullopt);
  request.parked = false;
  return true;
}

bool Gateway::adoptSilentReply(Request& request, ForwardReplyFrame& reply) {
  const bool succeeded = reply.outcome == ForwardOutcome::Answered && reply.http.status < kFirstServerError;
  if (succeeded) {
    cancelAttempt(request.attempt);
    resumeSilentAttempt(request);
    return true;
  }
  request.silent_attempt.reset();
  if (reply.outcome == ForwardOutcome::Answered) {
    request.earlier_answer = std::move(reply.http);
  } else if (reply.outcome == ForwardOutcome::Unknown) {
    request.unknown_reason = reply.reason;
  }
  return false;
}

void Gateway::recordReply(const Request& request, const GatewayAttempt& attempt, const ForwardReplyFrame& reply,
                          TimePoint now) {
  ports_.directory->onRequestEnded(attempt.node);
  ports_.directory->onReply(attempt.node, request.route->name, reply, now);
  if (reply.outcome == ForwardOutcome::Answered) {
    service_times_.record(request.route->name, Duration(reply.service_us));
    recordCondition(attempt, reply.http, now);
  }
  ports_.on_known_revisions(attempt.node, request.service, reply.known);
  if (!reply.hint.revision.none()) {
    ports_.on_hint(request.service, reply.hint);
  }
}

void Gateway::recordCondition(const GatewayAttempt& attempt, const HttpResponse& response, TimePoint now) {
  const ServerCondition condition = ports_.server_protocol->conditionOf(response);
  ports_.directory->setNamesLimit(attempt.node, condition.request_limit.has_value());
  if (condition.leaving && ports_.directory->markServerLeaving(attempt.instance, now)) {
    recorder_.serverLeaving(attempt.node, attempt.instance);
  }
}

void Gateway::recordRefusal(Request& request, const GatewayAttempt& attempt, const ForwardReplyFrame& reply) const {
  if (reply.outcome != ForwardOutcome::NotRun || reply.reason != ForwardReason::Overloaded) {
    return;
  }
  const Duration wait(reply.retry_after_us);
  request.shortest_wait = std::min(request.shortest_wait.value_or(wait), wait);
  request.limit_met = request.limit_met || ports_.directory->namesLimit(attempt.node);
}

bool Gateway::hasLeft(const InstanceId& instance, TimePoint now) const {
  const std::optional<TimePoint> since = ports_.directory->leavingSince(instance);
  return since && now >= *since + key_handover_time_;
}

void Gateway::onReply(RequestNumber number, std::uint32_t attempt_number, ForwardReplyFrame reply) {
  const auto found = requests_.find(number);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  const TimePoint now = ports_.clock->now();
  const bool was_silent = request.silent_attempt && request.silent_attempt->number == attempt_number;
  GatewayAttempt& attempt = was_silent ? *request.silent_attempt : request.attempt;
  attempt.open = false;
  dropBrokenResponse(reply);
  recordReply(request, attempt, reply, now);
  recordRefusal(request, attempt, reply);
  if (was_silent && !adoptSilentReply(request, reply)) {
    return;
  }
  if (!request.attempt.counted && (reply.reached_server || reply.outcome == ForwardOutcome::Answered)) {
    ++request.reached;
  }
  if (reply.outcome == ForwardOutcome::Unknown) {
    request.unknown_reason = reply.reason;
  }
  const AttemptState state{request.route, request.service, request.keyed, request.reached, endOf(request) - now};
  const RetryDecision step = policy_.decide(state, reply);
  request.last_reason = reply.reason;
  switch (step) {
    case RetryDecision::Answer:
      answer(number, std::move(reply.http));
      return;
    case RetryDecision::TryAnother:
      recorder_.attemptEnded(request, reply, step, inputsOf(request));
      if (reply.outcome == ForwardOutcome::Answered) {
        request.earlier_answer = std::move(reply.http);
      }
      request.tried_instances.insert(request.attempt.instance);
      dispatch(number);
      return;
    case RetryDecision::AwaitOwner:
      recorder_.attemptEnded(request, reply, step, inputsOf(request));
      if (!reply.hint.revision.none()) {
        dispatch(number);
      } else {
        park(number);
      }
      return;
    case RetryDecision::Refuse:
      refuse(number, reply.reason, Duration(reply.retry_after_us));
      return;
    case RetryDecision::Fail:
      fail(number, reply.reason);
      return;
  }
}

void Gateway::park(RequestNumber number) {
  Request& request = requests_.at(number);
  const TimePoint now = ports_.clock->now();
  if (request.parked_since == TimePoint{}) {
    request.parked_since = now;
  }
  if (ports_.directory->isFullyEvacuated(request.service)) {
    refuse(number, ForwardReason::Evacuated, kUnavailableRetryAfter);
    return;
  }
  const Duration expected = owner_waits_.expectedRest(request.service, request.parked_since, now);
  const Duration service_time = service_times_.expected(request.route->name, Duration::zero());
  const TimePoint in_time_until =
      std::min(request.arrived + request.route->target_latency, process_end_) - service_time;
  if (now + expected >= in_time_until) {
    recordOwnerWait(request, now);
    refuse(number, request.last_reason, std::max(expected, kMinRetryAfter));
    return;
  }
  request.parked = true;
  parked_.insert(number);
  const Duration wait = std::min(kParkedRetryInterval, in_time_until - now);
  ports_.loop->runAfter(wait, [this, alive = alive_, number] {
    if (!*alive) {
      return;
    }
    const auto found = requests_.find(number);
    if (found != requests_.end() && found->second.parked) {
      parked_.erase(number);
      dispatch(number);
    }
  });
}

void Gateway::recordOwnerWait(Request& request, TimePoint now) {
  if (request.parked_since != TimePoint{}) {
    owner_waits_.record(request.service, now - std::exchange(request.parked_since, TimePoint{}), now);
  }
}

void Gateway::onOwnersChanged() {
  const std::set<RequestNumber> waiting = std::exchange(parked_, {});
  for (const RequestNumber number : waiting) {
    const auto found = requests_.find(number);
    if (found != requests_.end() && found->second.parked) {
      dispatch(number);
    }
  }
}

Duration Gateway::retryAfter(const Request& request, Duration wanted, Duration time_left) {
  if (!request.limit_met) {
    return retry_delays_.next(wanted, time_left);
  }
  // No server takes the request earlier, so the full time is reported even if it exceeds the deadline.
  return retry_delays_.nextWithoutLimit(std::max(wanted, *request.shortest_wait));
}

void Gateway::refuse(RequestNumber number, ForwardReason reason, Duration retry_after) {
  requests_.at(number).last_reason = reason;
  refuseFor(number, reasonOf(reason), retry_after);
}

void Gateway::refuseFor(RequestNumber number, Reason reason, Duration retry_after) {
  if (resumeSilentAttempt(requests_.at(number)) || endIfPossiblyRun(number)) {
    return;
  }
  const Request& request = requests_.at(number);
  const TimePoint now = ports_.clock->now();
  const Duration time_left = request.info.time_left.value_or(request.route->timeout) - (now - request.arrived);
  // A retry before the end of the quarantine would be refused again, so the full time is reported even if it exceeds
  // the deadline.
  const Duration delay = reason == Reason::Quarantined ? retry_after : retryAfter(request, retry_after, time_left);
  const Refusal refusal{request.id, Outcome::NotRun, reason, delay};
  finish(number, ports_.protocol->makeRefusalResponse(refusal), "refused", ClaimOutcome::NotRun);
}

bool Gateway::endIfPossiblyRun(RequestNumber number) {
  const Request& request = requests_.at(number);
  if (!request.earlier_answer && !request.unknown_reason) {
    return false;
  }
  fail(number, request.unknown_reason.value_or(request.last_reason));
  return true;
}

void Gateway::answer(RequestNumber number, HttpResponse response) {
  ports_.protocol->finalizeResponse(response, requests_.at(number).id);
  finish(number, std::move(response), "answered", ClaimOutcome::Answered);
}

void Gateway::fail(RequestNumber number, ForwardReason reason) {
  Request& request = requests_.at(number);
  if (resumeSilentAttempt(request)) {
    return;
  }
  request.last_reason = reason;
  if (request.earlier_answer) {
    answer(number, std::move(*request.earlier_answer));
    return;
  }
  const Refusal refusal{request.id, Outcome::Unknown, reasonOf(reason), {}};
  finish(number, ports_.protocol->makeRefusalResponse(refusal), "failed", ClaimOutcome::Unknown);
}

void Gateway::onDeadline(RequestNumber number) {
  Request& request = requests_.at(number);
  request.timer = 0;
  if (const std::optional<PermitRefusal> refusal = RequestPermits::refusalAtDeadline(request)) {
    refuseFor(number, refusal->reason, refusal->retry_after);
    return;
  }
  if (request.parked && !request.silent_attempt) {
    refuse(number, request.last_reason, kMinRetryAfter);
    return;
  }
  // A request that waits at the local gate has not run and can't run once it is cancelled.
  const bool waits_here = request.attempt.open && request.attempt.local && !request.silent_attempt &&
                          !ports_.gate->isRunning(request.attempt.handle);
  cancelAttempts(request);
  if (waits_here) {
    refuse(number, ForwardReason::Overloaded, kMinRetryAfter);
  } else {
    fail(number, ForwardReason::TimedOut);
  }
}

void Gateway::endRequests() {
  while (!requests_.empty()) {
    auto& [number, request] = *requests_.begin();
    ports_.loop->cancel(request.timer);
    onDeadline(number);
  }
}

void Gateway::cancelAttempt(GatewayAttempt& attempt) {
  if (!attempt.open) {
    return;
  }
  attempt.open = false;
  ports_.directory->onRequestEnded(attempt.node);
  if (attempt.local) {
    ports_.gate->cancel(attempt.handle);
  } else {
    ports_.peer_client->cancel(attempt.handle);
  }
}

void Gateway::cancelAttempts(Request& request) {
  cancelAttempt(request.attempt);
  if (request.silent_attempt) {
    cancelAttempt(*request.silent_attempt);
    request.silent_attempt.reset();
  }
}

void Gateway::onClientGone(RequestNumber number) {
  const auto found = requests_.find(number);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  request.last_reason = ForwardReason::Cancelled;
  const bool never_sent = request.attempts == 0;
  cancelAttempts(request);
  finish(number, {}, "client-gone", never_sent ? ClaimOutcome::NotRun : ClaimOutcome::Unknown);
}

void Gateway::finish(RequestNumber number, HttpResponse response, const char* outcome, ClaimOutcome claim_end) {
  auto node = requests_.extract(number);
  Request& request = node.mapped();
  permits_.release(request, claim_end, response);
  parked_.erase(number);
  ports_.loop->cancel(request.timer);
  cancelAttempts(request);
  recorder_.ended(request, response.status, outcome);
  request.replier.reply(std::move(response));
}

AttemptInputs Gateway::inputsOf(const Request& request) const {
  const TimePoint now = ports_.clock->now();
  AttemptInputs inputs;
  inputs.occupancy = ports_.directory->occupancy(request.attempt.node, now);
  inputs.load_age = ports_.directory->loadAge(request.attempt.node, now);
  if (request.keyed) {
    inputs.table = ports_.owner_of(request.service, *request.info.key).revision;
  }
  return inputs;
}

}  // namespace shedlever
