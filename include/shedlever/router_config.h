#pragma once

/// @file
/// The routing configuration written by operators: routes, services and limits for clients. One version number covers
/// the whole configuration; versions only increase.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/identifiers.h"
#include "shedlever/quota_limit.h"
#include "shedlever/settings.h"
#include "shedlever/time.h"

namespace shedlever {

/// Whether requests of a route may be repeated.
enum class RouteKind : std::uint8_t {
  Idempotent,  ///< may run any number of times
  AtMostOnce,  ///< runs at most once per attempt of the client
  Download,    ///< idempotent, with large responses
};

/// @return whether a request of this kind may run more than once.
inline bool isRepeatable(RouteKind kind) { return kind != RouteKind::AtMostOnce; }

/// Share of a route's traffic that goes to a service.
struct ServiceShare {
  ServiceName service;
  std::uint32_t weight = 1;
};

/// Request timeout of routes for which the operator sets none.
inline constexpr Duration kDefaultRouteTimeout = std::chrono::seconds(30);
/// Latency objective of routes for which the operator sets none.
inline constexpr Duration kDefaultTargetLatency = std::chrono::seconds(1);

struct Route {
  std::string name;
  /// Empty: any host.
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::AtMostOnce;
  Duration timeout = kDefaultRouteTimeout;
  /// Latency objective.
  Duration target_latency = kDefaultTargetLatency;
  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// Maximum number of servers that one attempt of a client is sent to.
  std::uint32_t max_attempts = 1;
  /// Empty if the route's definition could not be decoded; its requests are refused.
  std::vector<ServiceShare> shares;
  /// Whether each request must have an idempotency key, under which it runs at most once.
  bool needs_idempotency_key = false;
  /// Whether requests without a valid API key are accepted although the configuration has tenants.
  bool auth_exempt = false;
};

struct RoutedService {
  ServiceName name;
  std::string health_path;
  /// Maximum number of connections that one server accepts from all callers together.
  std::uint32_t max_connections = 1;
  /// Whether each key is owned by exactly one server.
  bool divided_by_key = false;
  /// How long a server stays cold after it starts or becomes cold.
  Duration cold_time = Duration::zero();
  /// Request rate limit of a cold server; 0: limited only by its slots.
  double cold_requests_per_second = 0;
  /// Settings of the service in the product's own format; null where another format is used.
  std::shared_ptr<const ServiceSettings> settings;
};

/// Size limits and timeouts for client connections.
struct ClientLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 64U << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// SHA-256 of an API key.
using ApiKeyDigest = std::array<unsigned char, 32>;

/// A group of callers that share API keys.
struct Tenant {
  TenantName name;
  std::vector<ApiKeyDigest> api_keys;
  /// Priority of the tenant's requests in place of the route's; std::nullopt: that of the route.
  std::optional<std::uint32_t> priority;
  QuotaLimit quota;
};

using ConfigVersion = std::uint64_t;

struct RouterConfig {
  ConfigVersion version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, RoutedService> services;
  ClientLimits limits;
  /// std::nullopt: requests need no API key.
  std::optional<std::vector<Tenant>> tenants;
  /// Values that could not be decoded, each with what takes its place.
  Findings ignored;
};

}  // namespace shedlever
