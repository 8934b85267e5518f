#include "source/router/server_client.h"

#include <utility>

namespace shedlever {

namespace {

/// More than the slots of any server; the gate limits concurrent requests.
constexpr std::size_t kMaxConnections = 512;
/// Grants of all ranges of a server, and releases that wait for running requests, are under way at the same time.
constexpr std::size_t kCommandConnections = 16;
/// Responses to commands and health checks carry what matters in their headers.
constexpr std::size_t kMaxCommandResponseBytes = 64U << 10U;
/// Short, since the server is on the same machine.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/// Maximum idle time of a connection, unless the server announces its own limit.
constexpr Duration kIdleTimeout = std::chrono::milliseconds(7500);
/// The server responds to a release only after the last request for the keys has ended.
constexpr Duration kReleaseTimeout = std::chrono::seconds(4);
constexpr Duration kHealthCheckTimeout = std::chrono::seconds(1);

/// Distinguishes the ids of commands from those that the gateway gives to requests.
constexpr const char* kCommandIdSuffix = ".commands";

HttpClientConfig requestConfig(const Endpoint& server, MemoryBudget* response_budget) {
  HttpClientConfig config;
  config.server = server;
  config.max_connections = kMaxConnections;
  config.connect_timeout = kConnectTimeout;
  config.idle_timeout = kIdleTimeout;
  config.preserve_host = true;
  config.allow_close_delimited = true;
  config.response_budget = response_budget;
  return config;
}

HttpClientConfig commandConfig(const Endpoint& server) {
  HttpClientConfig config;
  config.server = server;
  config.max_connections = kCommandConnections;
  config.max_body_bytes = kMaxCommandResponseBytes;
  config.connect_timeout = kConnectTimeout;
  config.idle_timeout = kIdleTimeout;
  return config;
}

/// A server may send a response a second time, in the place of a later one on the same connection. A response without
/// an id may be such a copy, unless it is the first one on its connection.
HttpResponseVerdict verdictOn(ResponseIdMatch match, bool reused_connection) {
  switch (match) {
    case ResponseIdMatch::Same:
      return HttpResponseVerdict::Accept;
    case ResponseIdMatch::Other:
      return HttpResponseVerdict::Reject;
    case ResponseIdMatch::Missing:
      break;
  }
  return reused_connection ? HttpResponseVerdict::Reject : HttpResponseVerdict::AcceptAndClose;
}

}  // namespace

bool ServerResult::succeeded() const {
  constexpr int kFirstServerError = 500;
  return outcome == ForwardOutcome::Answered && http.status < kFirstServerError;
}

ServerClient::ServerClient(EventLoop& loop, const NodeIdentity& self, const Endpoint& server,
                           const ServerProtocol& protocol, MemoryBudget* response_budget)
    : loop_(loop),
      server_(server),
      protocol_(protocol),
      command_ids_({NodeName(self.name.value + kCommandIdSuffix), self.incarnation}),
      requests_(loop, requestConfig(server, response_budget)),
      commands_(std::make_unique<HttpClient>(loop, commandConfig(server))) {}

HttpExchangeId ServerClient::send(ServerRequest request, std::function<void(ServerResult)> done) {
  protocol_.setRouterHeaders(request.http, request.head);
  const Duration remaining = request.head.remaining;
  const bool keyed = request.head.key.has_value();
  auto finished = [this, id = request.head.id, instance = request.head.instance, keyed, done = std::move(done)](
                      HttpExchangeResult exchange) { done(resultOf(std::move(exchange), id, instance, keyed)); };
  auto check = [this, id = request.head.id, instance = request.head.instance, keyed](const HttpResponse& answer,
                                                                                     bool reused) {
    const bool broken = protocol_.classify(answer, id, instance, keyed) == AnswerKind::Broken;
    return broken ? HttpResponseVerdict::Reject : verdictOn(protocol_.matchRequestId(answer, id), reused);
  };
  HttpExchangeOptions options;
  options.identity = request.head.id.value;
  options.validator = std::move(check);
  return requests_.send(std::move(request.http), remaining, std::move(finished), std::move(options));
}

void ServerClient::cancel(HttpExchangeId exchange) { requests_.cancel(exchange); }

ServerResult ServerClient::resultOf(HttpExchangeResult exchange, const RequestId& id, const InstanceId& instance,
                                    bool keyed) const {
  ServerResult result;
  result.reached_server = exchange.status != HttpExchangeStatus::NotSent;
  switch (exchange.status) {
    case HttpExchangeStatus::Complete:
      break;
    case HttpExchangeStatus::NotSent:
      result.outcome = ForwardOutcome::NotRun;
      result.reason = ForwardReason::ServerDown;
      result.server_gone = exchange.connection_refused;
      result.connect_failed = !exchange.connection_refused;
      return result;
    case HttpExchangeStatus::ConnectionLost:
      result.reason = ForwardReason::ConnectionLost;
      return result;
    case HttpExchangeStatus::Malformed:
      result.reason = ForwardReason::BrokenAnswer;
      return result;
    case HttpExchangeStatus::TimedOut:
      result.reason = ForwardReason::TimedOut;
      return result;
    case HttpExchangeStatus::Cancelled:
      result.reason = ForwardReason::Cancelled;
      return result;
  }
  const AnswerKind kind = protocol_.classify(exchange.response, id, instance, keyed);
  if (kind != AnswerKind::WrongInstance && kind != AnswerKind::Broken) {
    result.condition = protocol_.conditionOf(exchange.response);
  }
  switch (kind) {
    case AnswerKind::Answer:
      result.outcome = ForwardOutcome::Answered;
      result.http = std::move(exchange.response);
      return result;
    case AnswerKind::NotRun:
      result.outcome = ForwardOutcome::NotRun;
      result.reason = ForwardReason::ServerRefused;
      return result;
    case AnswerKind::WrongInstance:
      result.outcome = ForwardOutcome::NotRun;
      result.reason = ForwardReason::WrongInstance;
      return result;
    case AnswerKind::KeyNotHeld:
      result.outcome = ForwardOutcome::NotRun;
      result.reason = ForwardReason::NotOwner;
      return result;
    case AnswerKind::Broken:
      result.reason = ForwardReason::BrokenAnswer;
      return result;
  }
  return result;
}

void ServerClient::useConnectionsFor(const InstanceId& instance) {
  if (command_instance_ != instance && !command_instance_.empty()) {
    std::erase_if(earlier_commands_, [](const auto& client) { return client->openConnections() == 0; });
    earlier_commands_.push_back(std::move(commands_));
    commands_ = std::make_unique<HttpClient>(loop_, commandConfig(server_));
  }
  command_instance_ = instance;
}

void ServerClient::sendObserved(HttpRequest request, Duration timeout, HttpExchangeCallback done,
                                HttpExchangeOptions options) {
  ConditionCallback on_condition = observe_condition_ ? observe_condition_() : ConditionCallback();
  auto finished = [this, on_condition = std::move(on_condition), done = std::move(done)](HttpExchangeResult exchange) {
    if (on_condition && exchange.status == HttpExchangeStatus::Complete) {
      on_condition(protocol_.conditionOf(exchange.response));
    }
    done(std::move(exchange));
  };
  commands_->send(std::move(request), timeout, std::move(finished), std::move(options));
}

HttpResponseVerdict ServerClient::verdictWithoutId(const HttpResponse& answer, const InstanceId& instance) const {
  // A copy of the response to a grant that was executed is harmless in the place of another grant's: the server itself
  // refuses requests for keys that it does not hold, and the hold counts as given either way. Any other response says
  // that something is not held, so that no copy of it may count: it is the last one on its connection.
  const bool executed = protocol_.commandStatus(answer, instance) == CommandStatus::Done;
  return executed ? HttpResponseVerdict::Accept : HttpResponseVerdict::AcceptAndClose;
}

void ServerClient::sendCommand(HttpRequest request, const InstanceId& instance, Duration timeout, bool alone,
                               HttpExchangeCallback done) {
  const RequestId id = command_ids_.idOf(command_ids_.next());
  protocol_.setRequestId(request, id);
  HttpExchangeOptions options;
  options.alone = alone;
  options.validator = [this, id, instance](const HttpResponse& answer, bool reused) {
    const ResponseIdMatch match = protocol_.matchRequestId(answer, id);
    return match == ResponseIdMatch::Missing ? verdictWithoutId(answer, instance) : verdictOn(match, reused);
  };
  sendObserved(std::move(request), timeout, std::move(done), std::move(options));
}

void ServerClient::grant(const GrantCommand& command, std::function<void(CommandStatus)> done) {
  useConnectionsFor(command.instance);
  sendCommand(protocol_.grantRequest(command), command.instance, kGrantTimeout, false,
              [this, instance = command.instance, done = std::move(done)](const HttpExchangeResult& exchange) {
                if (exchange.status == HttpExchangeStatus::Complete) {
                  done(protocol_.commandStatus(exchange.response, instance));
                } else {
                  done(exchange.connection_refused ? CommandStatus::ServerGone : CommandStatus::NoAnswer);
                }
              });
}

void ServerClient::release(const ReleaseCommand& command, std::function<void(ReleaseResult)> done) {
  useConnectionsFor(command.instance);
  // Keys move once the response says that work on them has ended. On a connection of its own it can't be a copy of the
  // response to an earlier command.
  sendCommand(protocol_.releaseRequest(command), command.instance, kReleaseTimeout, true,
              [this, instance = command.instance, done = std::move(done)](const HttpExchangeResult& exchange) {
                ReleaseResult result;
                if (exchange.status == HttpExchangeStatus::Complete) {
                  result.status = protocol_.commandStatus(exchange.response, instance);
                  result.handover = protocol_.handoverOf(exchange.response);
                } else if (exchange.connection_refused) {
                  result.status = CommandStatus::ServerGone;
                }
                done(result);
              });
}

void ServerClient::checkHealth(const std::string& health_path, std::function<void(const HealthCheckResult&)> done) {
  auto finished = [this, done = std::move(done)](const HttpExchangeResult& exchange) {
    HealthCheckResult result;
    result.refused = exchange.connection_refused;
    if (exchange.status == HttpExchangeStatus::Complete) {
      result.health = protocol_.healthOf(exchange.response);
      result.server = protocol_.serverIdOf(exchange.response);
      result.condition = protocol_.conditionOf(exchange.response);
    }
    done(result);
  };
  // A server may take a request with an id for one that it is to run, so that a health check has none.
  HttpExchangeOptions options;
  options.alone = true;
  sendObserved(protocol_.healthRequest(health_path), kHealthCheckTimeout, std::move(finished), std::move(options));
}

}  // namespace shedlever
