#pragma once

/// @file
/// What the router needs to be told in the platform's words and to say in them. Each adapter of a platform implements
/// these; nothing else knows its names.

#include <optional>
#include <string>

#include "shedlever/errors.h"
#include "shedlever/router_config.h"
#include "shedlever/router_frames.h"
#include "shedlever/server_orders.h"

namespace shedlever {

/// What a client's request says of itself.
struct ClientRequestInfo {
  RequestId id;
  /// How long the client will wait; none if it did not say.
  std::optional<Duration> time_left;
  /// The key that the request is about, for services that are divided by key.
  std::optional<Key> key;
};

/// How a server's whole answer is to be taken.
enum class AnswerKind : std::uint8_t {
  Answer,         ///< the server's own answer
  NotRun,         ///< the server says that it has not run the request and never will
  WrongInstance,  ///< as NotRun: another life of the server has the address
  KeyNotHeld,     ///< as NotRun: the server does not hold the key
  Broken,         ///< can't be the server's answer to this request
};

/// Requests, from clients and to servers.
class RequestProtocol {
 public:
  virtual ~RequestProtocol() = default;

  virtual ClientRequestInfo readClientRequest(const HttpRequest& request) const = 0;

  /// Replaces the headers that only the router sets.
  /// @param remaining what is left of the request's time.
  virtual void dress(HttpRequest& request, const InstanceId& instance, Duration remaining,
                     const ServiceName& caller) const = 0;

  /// @param id of the request that the answer should belong to.
  virtual AnswerKind classify(const HttpResponse& answer, const RequestId& id, const InstanceId& expected,
                              bool keyed) const = 0;

  virtual HttpRequest grantRequest(const GrantOrder& order) const = 0;
  virtual HttpRequest releaseRequest(const ReleaseOrder& order) const = 0;
  virtual OrderStatus orderStatus(const HttpResponse& answer) const = 0;
  virtual std::string handoverOf(const HttpResponse& answer) const = 0;

  virtual HttpRequest healthRequest(const std::string& path) const = 0;
  /// @return the life of the server that gave the answer; empty if it does not say.
  virtual InstanceId instanceOf(const HttpResponse& answer) const = 0;
};

/// What a server reports about itself.
struct ServerReport {
  InstanceId instance;
  ServiceName service;
  Endpoint address;
  std::uint32_t slots = 0;
  bool draining = false;
  /// Its last report: it ends, at once or soon.
  bool leaves = false;
  /// Rises with each report of one life; none if it does not say.
  std::optional<std::uint64_t> sequence;
};

/// Reports of servers, and the question whether this process is ready.
class ReportProtocol {
 public:
  virtual ~ReportProtocol() = default;
  /// @return the report; none when the request is no report, or makes no sense.
  virtual std::optional<ServerReport> readReport(const HttpRequest& request) const = 0;
  virtual HttpResponse acknowledgement() const = 0;
  virtual bool asksReadiness(const HttpRequest& request) const = 0;
};

/// Where operators' configuration lies in the metadata store, and how to read it.
class ConfigProtocol {
 public:
  virtual ~ConfigProtocol() = default;
  virtual std::string kind() const = 0;
  virtual std::string name() const = 0;
  /// @return the configuration, or Findings.
  virtual leaf::result<RouterConfig> decode(const std::string& text) const = 0;
};

}  // namespace shedlever
