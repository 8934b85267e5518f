#pragma once

/// @file
/// Effective settings after inheritance and validation. Every number has a default. Durations are in microseconds here
/// and in milliseconds in documents.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"

namespace shedlever {

/// Version of a document in the platform's store; strictly increasing per document.
using SettingsVersion = std::uint64_t;

/// Name of a document: "deployment" or "services/NAME".
using DocumentName = StrongName<struct DocumentNameTag>;

/// One settings document as stored.
struct SettingsDocument {
  DocumentName name;
  SettingsVersion version = 0;
  /// JSON text.
  std::string text;
  auto operator<=>(const SettingsDocument&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, version, text);
  }
};

/// A tenant's share of a service.
struct TenantSettings {
  TenantName name;
  /// Share in the fair queue, relative to the other tenants; at least 1.
  std::uint32_t weight = 1;
  /// Maximum number of requests that wait at one server.
  std::uint32_t queue_limit = 64;
  /// SHA-256 of the bearer credential in lower-case hexadecimal. The credential itself is never stored.
  std::string credential_sha256;
};

/// Settings of a back end; a back end may override its service's values.
struct BackendSettings {
  /// Maximum number of concurrent requests to the server; fewer if it reports fewer slots.
  std::uint32_t slots = 1000;
  /// Path of the health check.
  std::string health_path = "/health";
};

/// Where the key of a request is found.
enum class KeySource : std::uint8_t {
  Path,    ///< the path segment after the service's prefix
  Header,  ///< the header named by `key_header`
};

/// Limits on retries of a service's requests.
struct RetrySettings {
  /// Retries allowed per request, e.g. 0.1 allows one retry for ten requests.
  double budget_ratio = 0.1;
  /// Additional retries allowed per window, for all processes together.
  std::uint32_t budget_slack = 20;
  /// Maximum number of servers that one request is sent to.
  std::uint32_t attempts = 3;
};

/// All settings of one service.
struct ServiceSettings {
  ServiceName name;
  /// Versions of the service's document and of the deployment document, which take effect together.
  SettingsVersion version = 0;
  SettingsVersion deployment_version = 0;

  /// Path prefix of the service's requests, e.g. "/talash/".
  std::string path_prefix;
  /// Whether each key is owned by exactly one server.
  bool divided_by_key = false;
  KeySource key_source = KeySource::Path;
  std::string key_header;
  /// Requests of the service are idempotent.
  bool repeatable = false;
  /// Requests of the service run at most once and require an `Idempotency-Key`.
  bool at_most_once = false;
  /// How long an idempotency key stays claimed after its request has ended.
  Duration claim_retention = std::chrono::hours(24);

  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// Latency objective.
  Duration target_latency = std::chrono::seconds(1);
  Duration default_deadline = std::chrono::seconds(10);
  Duration longest_deadline = std::chrono::seconds(60);
  std::uint32_t body_limit = 8U << 20U;
  std::uint32_t header_limit = 16U << 10U;

  RetrySettings retry;
  BackendSettings backend;
  /// Overrides by back end, identified by the name of its node.
  std::map<NodeName, BackendSettings> backend_overrides;
  std::vector<TenantSettings> tenants;
};

/// The settings of the whole deployment that are active in a process.
struct DeploymentSettings {
  SettingsVersion version = 0;
  std::map<ServiceName, ServiceSettings> services;
};

}  // namespace shedlever
