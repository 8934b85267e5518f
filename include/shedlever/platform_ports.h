#pragma once

/// @file
/// Interfaces to the protocols of clients, servers and the metadata store. Each adapter implements them; only the
/// adapter knows the header and field names of its protocol.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "shedlever/errors.h"
#include "shedlever/http_messages.h"
#include "shedlever/key_report.h"
#include "shedlever/metadata_store.h"
#include "shedlever/outcome.h"
#include "shedlever/quota_limit.h"
#include "shedlever/router_config.h"
#include "shedlever/router_frames.h"
#include "shedlever/server_commands.h"
#include "shedlever/server_condition.h"
#include "shedlever/server_health.h"
#include "shedlever/server_instance.h"

namespace shedlever {

class TenantKeys;

/// Which connection a call to the store uses.
enum class StoreConnection : std::uint8_t {
  Reused,  ///< a keep-alive connection
  Watch,   ///< a connection for long polls
  New,     ///< a new connection, since an idle one may have been lost without notice
};

struct StoreCall {
  HttpRequest request;
  Duration timeout{};
  StoreConnection connection = StoreConnection::Reused;
  /// Kind of the objects that are read or written.
  std::string kind = {};
};

/// Sends a call to the store; `done` receives std::nullopt if there was no response.
using StoreCaller = std::function<void(StoreCall call, std::function<void(std::optional<HttpResponse>)> done)>;

/// Called when an entry of the kind can't be decoded; the entry is omitted from the result.
using UnreadableEntryCallback = std::function<void(const std::string& kind)>;

/// @return a store client that sends its calls with `caller`.
using StoreFactory =
    std::function<std::unique_ptr<MetadataStore>(StoreCaller caller, UnreadableEntryCallback on_unreadable)>;

/// What the router reads from a client's request.
struct ClientRequestInfo {
  /// Why the request is refused; None if it is valid.
  Reason refusal = Reason::None;
  /// How long the client will wait; std::nullopt if the request does not say.
  std::optional<Duration> time_left;
  /// Limit of the tenant's requests through all nodes.
  QuotaLimit quota;
  /// The key of the request, for services whose keys are divided among servers.
  std::optional<Key> key;
  /// Tenant of the request; its name is empty where tenants are not distinguished.
  TenantShare tenant;
  /// Priority of the tenant's requests; std::nullopt: that of the route.
  std::optional<std::uint32_t> priority;
  /// Requests with the same key run at most once; empty if there is none.
  IdempotencyKey idempotency_key;
};

/// Final response to a request that is not answered by a server.
struct Refusal {
  RequestId id;
  /// NotRun or Unknown.
  Outcome outcome = Outcome::NotRun;
  Reason reason = Reason::None;
  /// Suggested delay before a retry; zero if unknown.
  Duration retry_after = Duration::zero();
};

/// The protocol of clients.
class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;

  /// @return the id that the client assigned to the request; empty if the router is to assign one.
  virtual RequestId requestIdOf(const HttpRequest& request) const = 0;

  /// @param service that the request is routed to; null if it is not in the configuration.
  /// @param tenants API keys of the configuration; null if requests need none.
  virtual ClientRequestInfo readRequestInfo(const HttpRequest& request, const Route& route,
                                            const RoutedService* service, const TenantKeys* tenants) const = 0;

  /// Removes the headers that are meant only for the router, among them the API key.
  /// @param tenants API keys of the configuration; null if requests need none.
  virtual void removeRouterHeaders(HttpRequest& request, const TenantKeys* tenants) const = 0;

  /// @return the final response to a refused or failed request.
  virtual HttpResponse makeRefusalResponse(const Refusal& refusal) const = 0;

  /// Turns a server's response into the response for the client.
  virtual void finalizeResponse(HttpResponse& answer, const RequestId& id) const = 0;
};

/// Classification of a complete response from a server.
enum class AnswerKind : std::uint8_t {
  Answer,         ///< the server's response to the request
  NotRun,         ///< the server has not run the request and never will
  WrongInstance,  ///< as NotRun; another instance uses the address
  KeyNotHeld,     ///< as NotRun; the server does not hold the key
  Broken,         ///< not a valid response to this request
};

/// Whether the id in a response is that of the request or command.
enum class ResponseIdMatch : std::uint8_t {
  Same,
  Other,    ///< the response to another request or command
  Missing,  ///< the response has no id
};

/// Metadata that the router adds to a request for a server.
struct ServerRequestMetadata {
  RequestId id;
  /// The server instance that the request is meant for.
  InstanceId instance;
  /// Time left until the request's deadline.
  Duration remaining{};
  /// Service of the node at whose gateway the request arrived.
  ServiceName caller;
  std::optional<Key> key;
  /// Tenant whose API key the client sent; empty if there is none.
  TenantName tenant = {};
};

/// The protocol of servers.
class ServerProtocol {
 public:
  virtual ~ServerProtocol() = default;

  /// Replaces all headers that only the router may set.
  virtual void setRouterHeaders(HttpRequest& request, const ServerRequestMetadata& head) const = 0;

  /// Sets the id by which the response to a command is recognized.
  virtual void setRequestId(HttpRequest& request, const RequestId& id) const = 0;
  virtual ResponseIdMatch matchRequestId(const HttpResponse& answer, const RequestId& id) const = 0;

  /// @param id of the request that the response must belong to.
  virtual AnswerKind classify(const HttpResponse& answer, const RequestId& id, const InstanceId& expected,
                              bool keyed) const = 0;

  /// @return what the server says about its condition in any response.
  virtual ServerCondition conditionOf(const HttpResponse& answer) const = 0;
  /// Removes what the server says about its condition, from a response that is kept for later.
  virtual void removeCondition(HttpResponse& answer) const = 0;

  virtual HttpRequest grantRequest(const GrantCommand& command) const = 0;
  virtual HttpRequest releaseRequest(const ReleaseCommand& command) const = 0;
  /// @param expected the instance that the command was for.
  virtual CommandStatus commandStatus(const HttpResponse& answer, const InstanceId& expected) const = 0;
  virtual std::string handoverOf(const HttpResponse& answer) const = 0;

  virtual HttpRequest healthRequest(const std::string& path) const = 0;
  /// @return the id of the server that responded; empty if the response does not contain it.
  virtual ServerId serverIdOf(const HttpResponse& answer) const = 0;
  /// @return what the response to a health check says about the server.
  virtual ServerHealth healthOf(const HttpResponse& answer) const = 0;
};

/// A server's report about itself (heartbeat).
struct ServerReport {
  /// The reporting instance.
  InstanceId instance;
  /// Start time of the instance; std::nullopt if not reported.
  std::optional<ServerStartMs> start;
  ServiceName service;
  Endpoint address;
  std::uint32_t slots = 0;
  bool draining = false;
  /// How much longer the server is cold, that is, slow and limited to a few requests per second.
  Duration cold_remaining = Duration::zero();
  /// The last report: the server is shutting down.
  bool leaving = false;
  /// Increases with each report of an instance; std::nullopt if not reported.
  std::optional<std::uint64_t> sequence;
  /// For servers that receive their keys by heartbeat; std::nullopt if the report contains no key information.
  std::optional<KeyReport> keys;
};

/// The protocol of server reports and of the readiness probe.
class ReportProtocol {
 public:
  virtual ~ReportProtocol() = default;
  /// @return the report; std::nullopt if the request is not a valid report.
  virtual std::optional<ServerReport> readReport(const HttpRequest& request) const = 0;
  /// @param keys all ranges that the server is to hold; null to omit key information.
  virtual HttpResponse acknowledgement(const KeyAssignment* keys) const = 0;
  virtual bool isReadinessRequest(const HttpRequest& request) const = 0;
};

/// Objects of one kind by name.
using ObjectsByName = std::map<std::string, MetadataObject>;

/// Location and format of the operators' configuration in the metadata store.
class ConfigProtocol {
 public:
  virtual ~ConfigProtocol() = default;
  virtual std::string kind() const = 0;
  /// @return whether the object with that name is part of the configuration.
  virtual bool isConfigObject(const std::string& name) const = 0;
  /// @return the kind of the objects that mark zones as evacuated, each named after its zone; empty if evacuation is
  ///   not supported.
  virtual std::string evacuationKind() const { return {}; }
  /// @param parts all known configuration objects.
  /// @return the configuration, or Findings.
  virtual leaf::result<RouterConfig> decode(const ObjectsByName& parts) const = 0;
  /// @return whether operators assign version numbers and rewrite the newest version after the store is restored from a
  ///   backup; false if the store's revisions are the versions.
  virtual bool hasOperatorVersions() const { return false; }
};

}  // namespace shedlever
