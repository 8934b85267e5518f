#include "source/core/settings/settings_effective.h"

#include "source/core/settings/settings_documents.h"
#include "source/core/settings/settings_field.h"
#include "source/core/settings/settings_tree.h"

namespace shedlever {

namespace {

template <class Owner>
Json writeGroup(FieldRows<Owner> rows, const Owner& owner) {
  Json object = Json::object();
  writeFields(rows, owner, object);
  return object;
}

}  // namespace

Json effectiveService(const ServiceSettings& service) {
  Json object = writeGroup(serviceFields(), service);
  visitServiceGroups([&](std::string_view name, auto member, auto rows) {
    object[std::string(name)] = writeGroup(rows, service.*member);
  });
  Json backends = Json::object();
  for (const auto& [name, backend] : service.backend_overrides) {
    backends[name.value] = writeGroup(backendFields(), backend);
  }
  object[kBackendsKey] = std::move(backends);
  Json tenants = Json::array();
  for (const TenantSettings& tenant : service.tenants) {
    tenants.push_back(writeGroup(tenantFields(), tenant));
  }
  object[kTenantsKey] = std::move(tenants);
  return object;
}

}  // namespace shedlever
