#include <array>
#include <limits>

#include "source/core/settings/settings_field.h"

namespace shedlever {

namespace {

constexpr double kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr double kMsPerSecond = 1000;
constexpr double kMsPerMinute = 60 * kMsPerSecond;
constexpr double kMsPerHour = 60 * kMsPerMinute;
constexpr double kMsPerDay = 24 * kMsPerHour;
constexpr double kBytesPerMebibyte = 1024.0 * 1024.0;

using Scope = FieldScope;

constexpr std::array<FieldRow<ServiceSettings>, 13> kServiceFields{{
    {"path_prefix",
     &ServiceSettings::path_prefix,
     {0, 0, TextRule::PathPrefix},
     "Requests whose path begins with this prefix belong to the service; required.",
     Scope::ServiceOnly},
    {"divided_by_key", &ServiceSettings::divided_by_key, {}, "Whether each key has one owner."},
    {"key_source",
     &ServiceSettings::key_source,
     {},
     "Where a request contains its key: in the path segment after the prefix, or in a header."},
    {"key_header",
     &ServiceSettings::key_header,
     {0, 0, TextRule::HeaderName},
     "Header that contains the key; required if `key_source` is \"header\"."},
    {"repeatable",
     &ServiceSettings::repeatable,
     {},
     "Requests are idempotent: a request with an unknown outcome may be retried."},
    {"once_only",
     &ServiceSettings::at_most_once,
     {},
     "Requests run at most once; each needs an `Idempotency-Key`. Excludes `repeatable`."},
    {"claim_retention_ms",
     &ServiceSettings::claim_retention,
     {kMsPerMinute, 365 * kMsPerDay},
     "How long an idempotency key stays reserved after its request has ended."},
    {"priority",
     &ServiceSettings::priority,
     {0, 100},
     "Priority of the service's requests in a server's queue; 0 is the most urgent."},
    {"target_latency_ms",
     &ServiceSettings::target_latency,
     {1, kMsPerHour},
     "Target for the time to a response; a request waits for a slot or for its key's owner for only a part of it."},
    {"default_deadline_ms",
     &ServiceSettings::default_deadline,
     {1, kMsPerHour},
     "Deadline of a request whose client sends none."},
    {"longest_deadline_ms",
     &ServiceSettings::longest_deadline,
     {1, kMsPerHour},
     "Maximum deadline; longer deadlines of clients are reduced to this."},
    {"body_limit",
     &ServiceSettings::body_limit,
     {0, 64 * kBytesPerMebibyte},
     "Maximum size of a request or response body, in bytes."},
    {"header_limit",
     &ServiceSettings::header_limit,
     {256, kBytesPerMebibyte},
     "Maximum size of all headers of a request, in bytes."},
}};

constexpr std::array<FieldRow<RetrySettings>, 3> kRetryFields{{
    {"budget_ratio",
     &RetrySettings::budget_ratio,
     {0, 1},
     "Retries added to the retry budget by each request; 0.1 is one retry per ten requests."},
    {"budget_slack",
     &RetrySettings::budget_slack,
     {0, 10000},
     "Retries allowed in addition, for all processes together."},
    {"attempts", &RetrySettings::attempts, {1, 10}, "Maximum number of servers that one request is sent to."},
}};

constexpr std::array<FieldRow<BackendSettings>, 2> kBackendFields{{
    {"slots",
     &BackendSettings::slots,
     {1, 10000},
     "Maximum number of concurrent requests to the server; lower if it reports fewer slots."},
    {"health_path", &BackendSettings::health_path, {0, 0, TextRule::Path}, "Path of the server's health check."},
}};

constexpr std::array<FieldRow<TenantSettings>, 4> kTenantFields{{
    {"name", &TenantSettings::name, {0, 0, TextRule::Name}, "The tenant's name, as in logs and metrics; required."},
    {"weight", &TenantSettings::weight, {1, 10000}, "Share in the fair queue, relative to the other tenants."},
    {"queue_limit",
     &TenantSettings::queue_limit,
     {0, kMaxUint32},
     "Maximum number of the tenant's requests queued at one server; more are refused."},
    {"credential_sha256",
     &TenantSettings::credential_sha256,
     {0, 0, TextRule::Sha256},
     "SHA-256 of the tenant's bearer credential; required. The credential itself is never stored."},
}};

}  // namespace

FieldRows<ServiceSettings> serviceFields() { return kServiceFields; }
FieldRows<RetrySettings> retryFields() { return kRetryFields; }
FieldRows<BackendSettings> backendFields() { return kBackendFields; }
FieldRows<TenantSettings> tenantFields() { return kTenantFields; }

}  // namespace shedlever
