#include "source/core/settings/service_checks.h"

#include <string_view>

namespace shedlever {

namespace {

/// Checks one service. Each finding is located in the document that sets the value.
class ServiceChecker {
 public:
  ServiceChecker(const ParsedDocuments& documents, const ServiceSettings& service, Findings& findings)
      : documents_(documents), service_(service), findings_(findings) {}

  void run() {
    checkRequiredValues();
    checkAtMostOnce();
    checkDeadlines();
    checkTenants();
  }

 private:
  void add(const Json::json_pointer& pointer, std::string message) {
    findings_.add(locationOf(documents_, service_.name, pointer).text(), std::move(message));
  }

  void add(const char* pointer, std::string message) { add(Json::json_pointer(pointer), std::move(message)); }

  void checkRequiredValues() {
    if (service_.path_prefix.empty() && !sourceOf(documents_, service_.name, Json::json_pointer("/path_prefix"))) {
      add("/path_prefix", "is required: requests whose path begins with it belong to the service.");
    }
    if (service_.key_source == KeySource::Header && service_.key_header.empty()) {
      add("/key_header", "is required, since \"key_source\" is \"header\".");
    }
  }

  void checkAtMostOnce() {
    if (service_.at_most_once && service_.repeatable) {
      add("/once_only", "excludes \"repeatable\": a request can't both run at most once and be run again.");
    }
  }

  void checkDeadlines() {
    if (service_.default_deadline > service_.longest_deadline) {
      add("/default_deadline_ms", "must not be longer than \"longest_deadline_ms\".");
    }
    if (service_.target_latency > service_.longest_deadline) {
      add("/target_latency_ms", "must not be longer than \"longest_deadline_ms\".");
    }
  }

  void checkTenants() {
    const Json::json_pointer location("/tenants");
    for (std::size_t i = 0; i < service_.tenants.size(); ++i) {
      const TenantSettings& tenant = service_.tenants[i];
      for (std::size_t j = 0; j < i; ++j) {
        checkTenantPair(location / i, tenant, service_.tenants[j]);
      }
    }
  }

  void checkTenantPair(const Json::json_pointer& location, const TenantSettings& tenant,
                       const TenantSettings& earlier) {
    if (!tenant.name.empty() && tenant.name == earlier.name) {
      add(location / "name",
          "is the name of an earlier tenant of the service too: " + quotedText(tenant.name.value) + ".");
    }
    if (!tenant.credential_sha256.empty() && tenant.credential_sha256 == earlier.credential_sha256) {
      add(location / "credential_sha256", "is the credential of tenant " + quotedText(earlier.name.value) + " too.");
    }
  }

  const ParsedDocuments& documents_;
  const ServiceSettings& service_;
  Findings& findings_;
};

bool beginsWith(std::string_view text, std::string_view prefix) { return text.substr(0, prefix.size()) == prefix; }

void checkPrefixes(const ParsedDocuments& documents, const ServiceSettings& service, const ServiceSettings& other,
                   Findings& findings) {
  if (service.path_prefix.empty() || other.path_prefix.empty()) {
    return;
  }
  if (beginsWith(service.path_prefix, other.path_prefix) || beginsWith(other.path_prefix, service.path_prefix)) {
    const DocumentLocation location = locationOf(documents, service.name, Json::json_pointer("/path_prefix"));
    findings.add(location.text(), "overlaps with " + quotedText(other.path_prefix) + " of " +
                                      serviceDocumentName(other.name).value + ": a path would belong to both.");
  }
}

/// Service and tenant in which a credential was first found.
struct CredentialOwner {
  ServiceName service;
  TenantName tenant;
};

using CredentialOwners = std::map<std::string, CredentialOwner>;

void checkCredentials(const ParsedDocuments& documents, const ServiceSettings& service, CredentialOwners& owners,
                      Findings& findings) {
  for (std::size_t i = 0; i < service.tenants.size(); ++i) {
    const TenantSettings& tenant = service.tenants[i];
    if (tenant.credential_sha256.empty()) {
      continue;
    }
    const auto [owner, inserted] =
        owners.try_emplace(tenant.credential_sha256, CredentialOwner{service.name, tenant.name});
    if (inserted || owner->second.tenant == tenant.name || owner->second.service == service.name) {
      continue;
    }
    const Json::json_pointer pointer = Json::json_pointer("/tenants") / i / "credential_sha256";
    findings.add(locationOf(documents, service.name, pointer).text(),
                 "names tenant " + quotedText(owner->second.tenant.value) + " in " +
                     serviceDocumentName(owner->second.service).value + "; a credential names one tenant.");
  }
}

}  // namespace

void checkService(const ParsedDocuments& documents, const ServiceSettings& service, Findings& findings) {
  ServiceChecker(documents, service, findings).run();
}

void checkServices(const ParsedDocuments& documents, const DeploymentSettings& settings, Findings& findings) {
  CredentialOwners owners;
  for (auto service = settings.services.begin(); service != settings.services.end(); ++service) {
    for (auto other = settings.services.begin(); other != service; ++other) {
      checkPrefixes(documents, service->second, other->second, findings);
    }
    checkCredentials(documents, service->second, owners, findings);
  }
}

}  // namespace shedlever
