#pragma once

/// @file
/// What the router needs to be told in others' words and to say in them: by clients, by servers, by the store that
/// holds the configuration. Each adapter implements these; nothing else knows its names.

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
#include "shedlever/router_config.h"
#include "shedlever/router_frames.h"
#include "shedlever/server_commands.h"
#include "shedlever/server_instance.h"

namespace shedlever {

/// The connection that a call to the store goes over.
enum class StoreConnection : std::uint8_t {
  Reused,  ///< one that is kept for the next call
  Watch,   ///< one that may be busy for long
  New,     ///< a new one: kept ones may have gone silent without a sign
};

struct StoreCall {
  HttpRequest request;
  Duration timeout{};
  StoreConnection connection = StoreConnection::Reused;
};

/// Makes a call to the store; the answer is none when there was none.
using StoreCaller = std::function<void(StoreCall call, std::function<void(std::optional<HttpResponse>)> done)>;

/// An entry of that kind can't be read, and is left out of what the store tells.
using UnreadableEntryCallback = std::function<void(const std::string& kind)>;

/// @return the store over calls made by `caller`.
using StoreFactory =
    std::function<std::unique_ptr<MetadataStore>(StoreCaller caller, UnreadableEntryCallback on_unreadable)>;

/// What a client's request says of itself.
struct ClientRequestInfo {
  /// Why the request can't be taken; None if it can.
  Reason refusal = Reason::None;
  /// How long the client will wait; none if it did not say.
  std::optional<Duration> time_left;
  /// The key that the request is about, for services that are divided by key.
  std::optional<Key> key;
  /// Whose request it is; no name where clients are not told apart.
  TenantShare tenant;
  /// Requests with the same one run once; empty: none.
  IdempotencyKey idempotency_key;
};

/// A request that is given up, as its client is to be told.
struct Refusal {
  RequestId id;
  /// NotRun or Unknown.
  Outcome outcome = Outcome::NotRun;
  Reason reason = Reason::None;
  /// When to come back; zero when nothing is known.
  Duration retry_after = Duration::zero();
};

/// How clients speak.
class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;

  /// @return the id that the client gave the request; empty if the router is to give it one.
  virtual RequestId requestIdOf(const HttpRequest& request) const = 0;

  /// @param service that the request goes to; null when the configuration does not describe it.
  virtual ClientRequestInfo readRequestInfo(const HttpRequest& request, const Route& route,
                                            const RoutedService* service) const = 0;

  /// Takes out of a request what was meant for the router alone.
  virtual void removeRouterHeaders(HttpRequest& request) const = 0;

  /// @return the final answer to a request that is given up.
  virtual HttpResponse makeRefusalResponse(const Refusal& refusal) const = 0;

  /// Makes a server's answer the client's.
  virtual void finalizeResponse(HttpResponse& answer, const RequestId& id) const = 0;
};

/// How a server's whole answer is to be taken.
enum class AnswerKind : std::uint8_t {
  Answer,         ///< the server's own answer
  NotRun,         ///< the server says that it has not run the request and never will
  WrongInstance,  ///< as NotRun: another life of the server has the address
  KeyNotHeld,     ///< as NotRun: the server does not hold the key
  Broken,         ///< can't be the server's answer to this request
};

/// What a request tells its server beside what its client sent.
struct ServerRequestMetadata {
  RequestId id;
  /// The life of the server that is meant.
  InstanceId instance;
  /// What is left of the request's time.
  Duration remaining{};
  /// Service of the machine where the request began.
  ServiceName caller;
  std::optional<Key> key;
};

/// How servers speak.
class ServerProtocol {
 public:
  virtual ~ServerProtocol() = default;

  /// Replaces the headers that only the router sets.
  virtual void setRouterHeaders(HttpRequest& request, const ServerRequestMetadata& head) const = 0;

  /// @param id of the request that the answer should belong to.
  virtual AnswerKind classify(const HttpResponse& answer, const RequestId& id, const InstanceId& expected,
                              bool keyed) const = 0;

  virtual HttpRequest grantRequest(const GrantCommand& order) const = 0;
  virtual HttpRequest releaseRequest(const ReleaseCommand& order) const = 0;
  virtual CommandStatus commandStatus(const HttpResponse& answer) const = 0;
  virtual std::string handoverOf(const HttpResponse& answer) const = 0;

  virtual HttpRequest healthRequest(const std::string& path) const = 0;
  /// @return the server that gave the answer; empty if it does not say.
  virtual ServerId serverIdOf(const HttpResponse& answer) const = 0;
};

/// What a server reports about itself.
struct ServerReport {
  /// The life that reports.
  InstanceId instance;
  /// When it started; none if it does not say.
  std::optional<ServerStartMs> start;
  ServiceName service;
  Endpoint address;
  std::uint32_t slots = 0;
  bool draining = false;
  /// How much longer it is cold: slow, and able to bear but a few requests a second.
  Duration cold_remaining = Duration::zero();
  /// Its last report: it ends, at once or soon.
  bool leaving = false;
  /// Rises with each report of one life; none if it does not say.
  std::optional<std::uint64_t> sequence;
  /// For servers that take their keys by heartbeat; none if the report does not speak of keys.
  std::optional<KeyReport> keys;
};

/// Reports of servers, and the question whether this process is ready.
class ReportProtocol {
 public:
  virtual ~ReportProtocol() = default;
  /// @return the report; none when the request is no report, or makes no sense.
  virtual std::optional<ServerReport> readReport(const HttpRequest& request) const = 0;
  /// @param keys all that the server is to hold; null to say nothing of keys.
  virtual HttpResponse acknowledgement(const KeyAssignment* keys) const = 0;
  virtual bool isReadinessRequest(const HttpRequest& request) const = 0;
};

/// Objects of one kind by name.
using ObjectsByName = std::map<std::string, MetadataObject>;

/// Where operators' configuration lies in the metadata store, and how to read it.
class ConfigProtocol {
 public:
  virtual ~ConfigProtocol() = default;
  virtual std::string kind() const = 0;
  /// @return whether the object of that name is a part of the configuration.
  virtual bool isConfigObject(const std::string& name) const = 0;
  /// @return the kind of the objects that stand for evacuated zones, each under its zone's name; empty where operators
  ///   can't evacuate a zone.
  virtual std::string evacuationKind() const { return {}; }
  /// @param parts all parts known.
  /// @return the configuration, or Findings.
  virtual leaf::result<RouterConfig> decode(const ObjectsByName& parts) const = 0;
  /// @return whether operators count the versions, and write the newest again after the store has come back from a
  ///   copy; false where the store's own revisions are the versions.
  virtual bool hasOperatorVersions() const { return false; }
};

}  // namespace shedlever
