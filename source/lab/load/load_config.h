#pragma once

/// @file
/// What a load run is to do.

#include <cstdint>
#include <string>
#include <vector>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"

namespace shedlever::load {

/// A service as callers see it.
struct ServiceTarget {
  ServiceName name;
  /// With a slash at both ends, as in the service's settings.
  std::string path_prefix;
  /// Requests carry an `Idempotency-Key`.
  bool at_most_once = false;
  /// Share of the requests, relative to the other services.
  double weight = 1.0;
  /// The header that carries the key as well; empty: the path alone does.
  std::string key_header = {};
};

/// One caller group.
struct TenantTarget {
  TenantName name;
  /// Bearer credential.
  std::string credential;
  /// Share of the requests, relative to the other tenants.
  double weight = 1.0;
};

struct LoadConfig {
  std::vector<Endpoint> gateways;
  std::vector<ServiceTarget> services;
  std::vector<TenantTarget> tenants;
  std::uint64_t seed = 1;
  /// Requests a second over all gateways; each has its due time whether earlier ones have ended or not.
  double rate = 100.0;
  /// Time in which requests are made; those under way are waited for afterwards.
  Duration duration = std::chrono::seconds(10);
  /// Keys of each service.
  std::uint64_t keys = 200;
  /// Exponent of the Zipf distribution of keys; 0: all alike.
  double skew = 0.9;
  /// Other keys become hot every so often; zero: never.
  Duration hot_key_shift_interval = Duration::zero();
  /// Share of once-only requests that repeat the idempotency key (and all else) of an earlier one.
  double repeat_ratio = 0.2;
  /// `Shedlever-Deadline` of each request.
  Duration deadline = std::chrono::seconds(3);
  /// Time beyond the deadline after which a request counts as having got no reply.
  Duration reply_grace = std::chrono::seconds(2);
  std::uint32_t body_bytes = 64;
  /// Requests under way at the same time; those due beyond it are counted as not sent.
  std::uint32_t in_flight_limit = 2000;
};

}  // namespace shedlever::load
