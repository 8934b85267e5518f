#pragma once

/// @file
/// The routing configuration that operators write: routes, services and limits towards clients. One version holds
/// all of it; versions only rise.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "shedlever/identifiers.h"
#include "shedlever/settings.h"
#include "shedlever/time.h"

namespace shedlever {

/// What of a route's requests may be repeated.
enum class RouteKind : std::uint8_t {
  Idempotent,  ///< may run any number of times
  AtMostOnce,  ///< runs at most once for each attempt of a client
  Download,    ///< idempotent, with large answers
};

/// @return whether a request of this kind may run again.
inline bool isRepeatable(RouteKind kind) { return kind != RouteKind::AtMostOnce; }

/// A service's part in a route.
struct ServiceShare {
  ServiceName service;
  std::uint32_t weight = 1;
};

/// Longest time for which a request is held where the operator gives none.
inline constexpr Duration kDefaultRouteTimeout = std::chrono::seconds(30);
/// Latency objective where the operator gives none.
inline constexpr Duration kDefaultTargetLatency = std::chrono::seconds(1);

struct Route {
  std::string name;
  /// Empty: any host.
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::AtMostOnce;
  Duration timeout = kDefaultRouteTimeout;
  /// Time within which an answer is worth most.
  Duration target_latency = kDefaultTargetLatency;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Most servers that one attempt of a client may be sent to.
  std::uint32_t max_attempts = 1;
  /// At least one.
  std::vector<ServiceShare> shares;
  /// Whether each request must carry an idempotency key, under which it runs once.
  bool needs_idempotency_key = false;
};

struct RoutedService {
  ServiceName name;
  std::string health_path;
  /// Connections that one server takes from all its callers together.
  std::uint32_t max_connections = 1;
  /// Whether each key is held by one server alone.
  bool divided_by_key = false;
  /// A server that has just started, or has turned cold, stays so for so long ...
  Duration cold_time = Duration::zero();
  /// ... and bears so many requests a second meanwhile; 0: as many as it has slots for.
  double cold_requests_per_second = 0;
  /// What the product's own settings say of the service; null where they do not rule.
  std::shared_ptr<const ServiceSettings> settings;
};

/// What a client may send, and how long it may take.
struct ClientLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 64U << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

using ConfigVersion = std::uint64_t;

struct RouterConfig {
  ConfigVersion version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, RoutedService> services;
  ClientLimits limits;
};

}  // namespace shedlever
