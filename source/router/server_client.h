#pragma once

/// @file
/// HTTP client for the local server (the server on this process's node): requests, key commands and health checks.

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "shedlever/platform_ports.h"
#include "shedlever/server_commands.h"
#include "source/core/router/routes/request_id_generator.h"
#include "source/net/http_client.h"

namespace shedlever {

/// Result of a request at the server.
struct ServerResult {
  ForwardOutcome outcome = ForwardOutcome::Unknown;
  ForwardReason reason = ForwardReason::None;
  /// Whether any part of the request was sent.
  bool reached_server = false;
  /// The server's address refused the connection.
  bool server_gone = false;
  /// A connection could not be made in time.
  bool connect_failed = false;
  HttpResponse http;
  /// From a complete response of the expected instance; std::nullopt if there was none.
  std::optional<ServerCondition> condition;

  /// @return whether the server answered without a server error (5xx). A server that gives up at the request's deadline
  ///   responds with such an error, possibly before the request makes it crash.
  bool succeeded() const;
};

struct ServerRequest {
  HttpRequest http;
  ServerRequestMetadata head;
};

using ConditionCallback = std::function<void(const ServerCondition&)>;

class ServerClient final : public ServerCommands {
 public:
  /// @param loop, protocol outlive the client.
  /// @param self this process, which the ids of commands name.
  /// @param response_budget charged for responses to requests while they are received; outlives the client. May be
  ///   null.
  ServerClient(EventLoop& loop, const NodeIdentity& self, const Endpoint& server, const ServerProtocol& protocol,
               MemoryBudget* response_budget = nullptr);

  /// @param done runs exactly once, from the event loop, also after `cancel`.
  HttpExchangeId send(ServerRequest request, std::function<void(ServerResult)> done);
  /// Closes the connection, on which most servers abort the request.
  void cancel(HttpExchangeId exchange);

  void grant(const GrantCommand& command, std::function<void(CommandStatus)> done) override;
  void release(const ReleaseCommand& command, std::function<void(ReleaseResult)> done) override;

  /// @param observe is called before each command and health check; what it returns receives what the server says about
  ///   its condition in the response, if there is one.
  void setConditionObserver(std::function<ConditionCallback()> observe) { observe_condition_ = std::move(observe); }

  /// Sends a health check.
  /// @param done runs exactly once, from the event loop; its result also names the server that has responded.
  void checkHealth(const std::string& health_path, std::function<void(const HealthCheckResult&)> done);

 private:
  ServerResult resultOf(HttpExchangeResult exchange, const RequestId& id, const InstanceId& instance, bool keyed) const;

  /// Makes commands for another instance than the last ones use new connections: open ones lead to the earlier
  /// instance, which may still work although its successor has its address.
  void useConnectionsFor(const InstanceId& instance);

  /// Sends a command with an id of its own; a response with another id does not count.
  /// @param alone whether it uses a connection of its own.
  void sendCommand(HttpRequest request, const InstanceId& instance, Duration timeout, bool alone,
                   HttpExchangeCallback done);
  /// @return what a response to a command means if it has no id, so that it may be a copy of an earlier one.
  HttpResponseVerdict verdictWithoutId(const HttpResponse& answer, const InstanceId& instance) const;

  /// Sends a command or a health check and passes on what the server says about its condition.
  void sendObserved(HttpRequest request, Duration timeout, HttpExchangeCallback done, HttpExchangeOptions options);

  EventLoop& loop_;
  const Endpoint server_;
  const ServerProtocol& protocol_;
  RequestIdGenerator command_ids_;
  std::function<ConditionCallback()> observe_condition_;
  HttpClient requests_;
  std::unique_ptr<HttpClient> commands_;
  /// The instance that the last command was for; empty before the first one.
  InstanceId command_instance_;
  /// Connections to earlier instances, on which commands may be in flight.
  std::vector<std::unique_ptr<HttpClient>> earlier_commands_;
};

}  // namespace shedlever
