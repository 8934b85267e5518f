#pragma once

/// @file
/// One request of a client from its arrival to its final answer, as the gateway keeps it.

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

#include "shedlever/platform_ports.h"
#include "source/core/router/claim_manager.h"
#include "source/core/router/route_table.h"
#include "source/net/strict_http_server.h"

namespace shedlever {

/// Where the present attempt is, or the last one was.
struct GatewayAttempt {
  NodeName node;
  InstanceId instance;
  bool local = false;
  /// Ticket at the own gate, or exchange at another process; 0 while there is none.
  std::uint64_t handle = 0;
  bool open = false;
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
  /// Its claim of an idempotency key; 0 for none.
  ClaimHandle claim = 0;
  /// Waits for its claim to be decided.
  bool claiming = false;
  bool keyed = false;
  TimePoint arrived{};
  TimePoint deadline{};
  /// Servers that have been tried.
  std::set<InstanceId> tried_instances;
  std::uint32_t reached = 0;
  std::uint32_t attempts = 0;
  GatewayAttempt attempt;
  /// Waits for its key's owner.
  bool parked = false;
  /// Zero while it does not wait for it.
  TimePoint parked_since{};
  ForwardReason last_reason = ForwardReason::None;
  /// Why the outcome of an attempt is unknown; none while every attempt that has ended is known to have run or not.
  std::optional<ForwardReason> unknown_reason;
  /// The server's whole answer to an earlier attempt, an error, after which another server was tried.
  std::optional<HttpResponse> earlier_answer;
  TimerId timer = 0;
};

}  // namespace shedlever
