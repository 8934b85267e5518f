#pragma once

/// @file
/// Effective settings, after inheritance and validation. Every number has a default; durations are in
/// microseconds here and in milliseconds in documents.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"

namespace shedlever {

/// Version of one document in the platform's store; strictly growing per document.
using SettingsVersion = std::uint64_t;

/// Name of a document: "deployment", or "services/NAME".
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
  /// Share in the fair queue, relative to the others; at least 1.
  std::uint32_t weight = 1;
  /// Requests that may wait at one server.
  std::uint32_t queue_limit = 64;
  /// Lower-case hex SHA-256 of the bearer credential. The credential itself is never stored.
  std::string credential_sha256;
};

/// Limits of one back end; a back end may override its service's values.
struct BackendSettings {
  /// Requests sent to the server at once at most; fewer if it reports fewer slots.
  std::uint32_t slots = 1000;
  /// Path at which it is asked whether it lives.
  std::string health_path = "/health";
};

/// Where a request carries its key.
enum class KeySource : std::uint8_t {
  Path,    ///< the path segment after the service's prefix
  Header,  ///< the header named by `key_header`
};

/// How much a service's requests may be sent again.
struct RetrySettings {
  /// Repeats earned per request, e.g. 0.1: one repeat for ten requests.
  double budget_ratio = 0.1;
  /// Repeats allowed besides, for all processes together, in one window.
  std::uint32_t budget_slack = 20;
  /// Servers that one request is sent to at most.
  std::uint32_t attempts = 3;
};

/// Everything that holds for one service.
struct ServiceSettings {
  ServiceName name;
  /// Version of the service's own document and of the deployment's: both in force together.
  SettingsVersion version = 0;
  SettingsVersion deployment_version = 0;

  /// Requests whose path begins with this belong to the service, e.g. "/talash/".
  std::string path_prefix;
  /// Whether each key has one owner.
  bool divided_by_key = false;
  KeySource key_source = KeySource::Path;
  std::string key_header;
  /// Requests of the service may be run more than once without harm.
  bool repeatable = false;
  /// Requests of the service run at most once; they need an `Idempotency-Key`.
  bool once_only = false;
  /// How long a once-only key stays taken after its request has ended.
  Duration claim_retention = std::chrono::hours(24);

  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Time within which an answer is worth most.
  Duration target_latency = std::chrono::seconds(1);
  Duration default_deadline = std::chrono::seconds(10);
  Duration longest_deadline = std::chrono::seconds(60);
  std::uint32_t body_limit = 8U << 20U;
  std::uint32_t header_limit = 16U << 10U;

  RetrySettings retry;
  BackendSettings backend;
  /// By back end name (the name of the node beside it).
  std::map<NodeName, BackendSettings> backend_overrides;
  std::vector<TenantSettings> tenants;
};

/// The whole deployment as one process has it in force.
struct DeploymentSettings {
  SettingsVersion version = 0;
  std::map<ServiceName, ServiceSettings> services;
};

}  // namespace shedlever
