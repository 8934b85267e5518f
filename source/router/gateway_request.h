#pragma once

/// @file
/// State of a client request in the gateway, from its arrival to its final response.

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

#include "shedlever/platform_ports.h"
#include "source/core/router/claims/claim_manager.h"
#include "source/core/router/routes/route_table.h"
#include "source/net/strict_http_server.h"

namespace shedlever {

/// Identifies a request within one gateway.
using RequestNumber = std::uint64_t;

/// The current or last attempt of a request.
struct GatewayAttempt {
  NodeName node;
  InstanceId instance;
  bool local = false;
  /// Counts the attempts of the request, from 1.
  std::uint32_t number = 0;
  /// Queue ticket at the local gate or exchange id at a peer; 0 if there is none yet.
  std::uint64_t handle = 0;
  bool open = false;
  /// Whether the attempt is already counted among those that reached a server.
  bool counted = false;
};

struct GatewayRequest {
  GatewayRequest(HttpRequest its_http, StrictHttpResponder its_replier, std::shared_ptr<const RouteTable> its_routes)
      : http(std::move(its_http)), replier(std::move(its_replier)), routes(std::move(its_routes)) {}

  HttpRequest http;
  StrictHttpResponder replier;
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  ServiceName service;
  RequestId id;
  ClientRequestInfo info;
  /// Claim of the idempotency key; 0 if there is none.
  ClaimHandle claim = 0;
  /// Whether the request waits for the result of its claim.
  bool claiming = false;
  /// Whether the request waits for a token of its tenant's quota.
  bool awaits_quota = false;
  /// Whether the request has such a token.
  bool has_quota_token = false;
  bool keyed = false;
  TimePoint arrived{};
  TimePoint deadline{};
  /// Server instances to which an earlier attempt was made.
  std::set<InstanceId> tried_instances;
  /// Number of attempts that reached a server.
  std::uint32_t reached = 0;
  std::uint32_t attempts = 0;
  GatewayAttempt attempt;
  /// An open attempt whose node has fallen silent, beside the current attempt at another server. The request ends with
  /// the first answer; without one from the current attempt, it waits for this one again.
  std::optional<GatewayAttempt> silent_attempt;
  /// Whether the request waits for its key to get an owner.
  bool parked = false;
  /// Start of that wait; zero if the request is not waiting.
  TimePoint parked_since{};
  ForwardReason last_reason = ForwardReason::None;
  /// Why the outcome of an attempt is unknown; std::nullopt while the outcomes of all ended attempts are known.
  std::optional<ForwardReason> unknown_reason;
  /// Shortest wait that a server gave when it refused the request; std::nullopt if none has.
  std::optional<Duration> shortest_wait;
  /// Whether a server refused the request that names a request limit.
  bool limit_met = false;
  /// Complete error response of a server to an earlier attempt, after which another server was tried.
  std::optional<HttpResponse> earlier_answer;
  TimerId timer = 0;
};

}  // namespace shedlever
