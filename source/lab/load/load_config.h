#pragma once

/// @file
/// Configuration of a load run.

#include <cstdint>
#include <string>
#include <vector>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"

namespace shedlever::load {

/// A service that the load sends requests to.
struct ServiceTarget {
  ServiceName name;
  /// Begins and ends with a slash, as in the service's settings.
  std::string path_prefix;
  /// Whether requests carry an `Idempotency-Key`.
  bool at_most_once = false;
  /// Relative to the weights of the other services.
  double weight = 1.0;
  /// Header that carries the key in addition to the path; empty if the key is in the path only.
  std::string key_header = {};
};

/// A tenant in whose name the load sends requests.
struct TenantTarget {
  TenantName name;
  /// Bearer token.
  std::string credential;
  /// Relative to the weights of the other tenants.
  double weight = 1.0;
};

struct LoadConfig {
  std::vector<Endpoint> gateways;
  std::vector<ServiceTarget> services;
  std::vector<TenantTarget> tenants;
  std::uint64_t seed = 1;
  /// Requests per second over all gateways. Due times do not depend on whether earlier requests have ended.
  double rate = 100.0;
  /// Time during which requests are sent; requests in flight are awaited afterwards.
  Duration duration = std::chrono::seconds(10);
  /// Number of keys of each service.
  std::uint64_t keys = 200;
  /// Exponent of the Zipf distribution of the keys; 0 makes all keys equally likely.
  double skew = 0.9;
  /// Interval after which other keys become hot; zero means never.
  Duration hot_key_shift_interval = Duration::zero();
  /// Ratio of at-most-once requests that repeat an earlier request with its idempotency key, in [0, 1].
  double repeat_ratio = 0.2;
  /// `Shedlever-Deadline` of each request.
  Duration deadline = std::chrono::seconds(3);
  /// Time after the deadline at which a request without a response times out.
  Duration reply_grace = std::chrono::seconds(2);
  /// Minimum size of each request body.
  std::uint32_t body_bytes = 64;
  /// Maximum number of requests in flight; requests due beyond the limit are recorded as not sent.
  std::uint32_t in_flight_limit = 2000;
};

}  // namespace shedlever::load
