#include "source/core/settings/settings_tree.h"

#include "source/core/settings/service_checks.h"
#include "source/core/settings/settings_documents.h"
#include "source/core/settings/settings_field.h"

namespace shedlever {

namespace {

/// Reads parsed documents level by level; the settings of each level start as a copy of the level above.
class TreeReader {
 public:
  TreeReader(const ParsedDocuments& documents, Findings& findings) : documents_(documents), findings_(findings) {}

  DeploymentSettings read() {
    DeploymentSettings settings;
    settings.version = documents_.deployment_version;
    const ServiceSettings defaults = readDeployment();
    for (const auto& [name, document] : documents_.services) {
      ServiceSettings& service = settings.services[name];
      service = defaults;
      service.name = name;
      service.version = document.version;
      readServiceDocument(document.json, service);
      checkService(documents_, service, findings_);
    }
    checkServices(documents_, settings, findings_);
    return settings;
  }

 private:
  /// @return the values that every service inherits.
  ServiceSettings readDeployment() {
    const DocumentLocation location(kDeploymentDocument);
    checkKeys(documents_.deployment, location, {kChangeKey, kServiceDefaultsKey}, findings_);
    ServiceSettings defaults;
    defaults.deployment_version = documents_.deployment_version;
    if (const Json* object = childObject(documents_.deployment, location, kServiceDefaultsKey)) {
      readDefaults(*object, location.child(kServiceDefaultsKey), defaults);
    }
    return defaults;
  }

  void readDefaults(const Json& object, const DocumentLocation& location, ServiceSettings& defaults) {
    std::vector<std::string_view> known = serviceKeys();
    for (const FieldRow<ServiceSettings>& row : serviceFields()) {
      if (row.scope == FieldScope::ServiceOnly) {
        std::erase(known, row.name);
      }
    }
    checkKeys(object, location, known, findings_);
    readServiceValues(object, location, defaults);
    defaults.path_prefix.clear();
  }

  void readServiceDocument(const Json& object, ServiceSettings& service) {
    const DocumentLocation location(serviceDocumentName(service.name).value);
    std::vector<std::string_view> known = serviceKeys();
    known.emplace_back(kChangeKey);
    known.emplace_back(kBackendsKey);
    checkKeys(object, location, known, findings_);
    readServiceValues(object, location, service);
    if (const Json* backends = childObject(object, location, kBackendsKey)) {
      readBackends(*backends, location.child(kBackendsKey), service);
    }
  }

  static std::vector<std::string_view> serviceKeys() {
    std::vector<std::string_view> keys = fieldNames(serviceFields());
    visitServiceGroups([&keys](std::string_view group, auto, auto) { keys.push_back(group); });
    keys.emplace_back(kTenantsKey);
    return keys;
  }

  void readServiceValues(const Json& object, const DocumentLocation& location, ServiceSettings& service) {
    readFields(object, location, serviceFields(), service, findings_);
    visitServiceGroups([&](std::string_view name, auto member, auto rows) {
      if (const Json* group = childObject(object, location, name)) {
        readGroup(*group, location.child(name), rows, service.*member);
      }
    });
    readTenants(object, location, service);
  }

  template <class Owner>
  void readGroup(const Json& object, const DocumentLocation& location, FieldRows<Owner> rows, Owner& owner) {
    checkKeys(object, location, fieldNames(rows), findings_);
    readFields(object, location, rows, owner, findings_);
  }

  void readBackends(const Json& object, const DocumentLocation& location, ServiceSettings& service) {
    for (const auto& [name, value] : object.items()) {
      if (!matchesRule(name, TextRule::Name)) {
        const std::string rule = describeType(FieldLimits{0, 0, TextRule::Name}, std::string());
        findings_.add(location.child(name).text(), "is not the name of a back end: it must be " + rule + ".");
        continue;
      }
      if (const Json* backend = childObject(object, location, name)) {
        BackendSettings& settings = service.backend_overrides[NodeName(name)];
        settings = service.backend;
        readGroup(*backend, location.child(name), backendFields(), settings);
      }
    }
  }

  /// A list of tenants replaces an inherited list completely.
  void readTenants(const Json& object, const DocumentLocation& location, ServiceSettings& service) {
    const auto list = object.find(kTenantsKey);
    if (list == object.end()) {
      return;
    }
    const DocumentLocation list_location = location.child(kTenantsKey);
    if (!list->is_array()) {
      findings_.add(list_location.text(), std::string("must be a list of tenants, not ") + list->type_name() + ".");
      return;
    }
    service.tenants.clear();
    for (std::size_t i = 0; i < list->size(); ++i) {
      readTenant((*list)[i], list_location.child(i), service.tenants.emplace_back());
    }
  }

  void readTenant(const Json& object, const DocumentLocation& location, TenantSettings& tenant) {
    if (!object.is_object()) {
      findings_.add(location.text(), std::string("must be an object, not ") + object.type_name() + ".");
      return;
    }
    readGroup(object, location, tenantFields(), tenant);
    for (const char* required : {"name", "credential_sha256"}) {
      if (!object.contains(required)) {
        findings_.add(location.child(required).text(), "is required.");
      }
    }
  }

  /// @return the object under `key`; null if it is missing, or, with a finding, if the value is not an object.
  const Json* childObject(const Json& object, const DocumentLocation& location, std::string_view key) {
    const auto found = object.find(key);
    if (found == object.end()) {
      return nullptr;
    }
    if (!found->is_object()) {
      findings_.add(location.child(key).text(), std::string("must be an object, not ") + found->type_name() + ".");
      return nullptr;
    }
    return &*found;
  }

  const ParsedDocuments& documents_;
  Findings& findings_;
};

}  // namespace

leaf::result<DeploymentSettings> resolveSettings(const std::map<DocumentName, SettingsDocument>& documents) {
  Findings findings;
  const ParsedDocuments parsed = parseDocuments(documents, findings);
  DeploymentSettings settings = TreeReader(parsed, findings).read();
  if (!findings.empty()) {
    return leaf::new_error(std::move(findings));
  }
  return settings;
}

}  // namespace shedlever
