#pragma once

/// @file
/// Connections to the server beside this process: requests, orders about keys, and whether it is alive.

#include <functional>
#include <memory>

#include "shedlever/platform_ports.h"
#include "shedlever/server_commands.h"
#include "source/net/http_client.h"

namespace shedlever {

/// What became of a request at the server.
struct ServerResult {
  ForwardOutcome outcome = ForwardOutcome::Unknown;
  ForwardReason reason = ForwardReason::None;
  /// Whether any of it was sent.
  bool reached_server = false;
  /// Nothing listens at the server's address.
  bool server_gone = false;
  /// A connection could not be made in time.
  bool connect_failed = false;
  HttpResponse http;

  /// @return whether the server has run the request to a good end. An error of its own is none: a server that gives up
  ///   at the request's deadline says so before the request has done its harm.
  bool succeeded() const;
};

struct ServerRequest {
  HttpRequest http;
  ServerRequestMetadata head;
};

class ServerClient final : public ServerCommands {
 public:
  /// @param protocol outlives the link.
  ServerClient(EventLoop& loop, const Endpoint& server, const ServerProtocol& protocol);

  /// @param done runs from the loop, once, unless the request is cancelled.
  HttpExchangeId send(ServerRequest request, std::function<void(ServerResult)> done);
  /// Closes the connection, at which most servers drop the request.
  void cancel(HttpExchangeId exchange);

  void grant(const GrantCommand& order, std::function<void(CommandStatus)> done) override;
  void release(const ReleaseCommand& order, std::function<void(ReleaseResult)> done) override;

  /// Asks the server who it is.
  /// @param done an empty id when there was no answer; `refused` when nothing listens.
  void identify(const std::string& health_path, std::function<void(ServerId server, bool refused)> done);

 private:
  ServerResult resultOf(HttpExchangeResult exchange, const RequestId& id, const InstanceId& instance, bool keyed) const;

  const ServerProtocol& protocol_;
  HttpClient requests_;
  HttpClient orders_;
};

}  // namespace shedlever
