#include "source/core/settings/settings_documents.h"
#include "source/core/settings/settings_effective.h"
#include "source/core/settings/settings_field.h"
#include "source/core/settings/settings_tree.h"

namespace shedlever {

namespace {

/// Lists the values of one service with their sources.
class ServiceExplainer {
 public:
  ServiceExplainer(const ParsedDocuments& documents, const ServiceSettings& service)
      : documents_(documents), service_(service) {}

  std::vector<ValueSource> run() {
    addGroup(Json::json_pointer(), serviceFields(), service_);
    visitServiceGroups([&](std::string_view name, auto member, auto rows) {
      addGroup(Json::json_pointer() / std::string(name), rows, service_.*member);
    });
    for (const auto& [name, backend] : service_.backend_overrides) {
      addBackend(name, backend);
    }
    addTenants();
    return std::move(values_);
  }

 private:
  std::string sourceName(const Json::json_pointer& pointer) const {
    const std::optional<DocumentLocation> location = sourceOf(documents_, service_.name, pointer);
    if (!location) {
      return "default";
    }
    return location->pointer() == pointer ? serviceDocumentName(service_.name).value : kDeploymentDocument;
  }

  template <class Owner>
  void addGroup(const Json::json_pointer& group, FieldRows<Owner> rows, const Owner& owner) {
    for (const FieldRow<Owner>& row : rows) {
      const Json::json_pointer pointer = group / std::string(row.name);
      values_.push_back({pointer.to_string(), writeField(row, owner).dump(), sourceName(pointer)});
    }
  }

  void addBackend(const NodeName& name, const BackendSettings& backend) {
    const Json::json_pointer location = Json::json_pointer() / kBackendsKey / name.value;
    for (const FieldRow<BackendSettings>& row : backendFields()) {
      const Json::json_pointer pointer = location / std::string(row.name);
      const bool is_overridden = sourceOf(documents_, service_.name, pointer).has_value();
      const std::string override_source = serviceDocumentName(service_.name).value + location.to_string();
      const std::string inherited_source = sourceName(Json::json_pointer() / kBackendKey / std::string(row.name));
      values_.push_back(
          {pointer.to_string(), writeField(row, backend).dump(), is_overridden ? override_source : inherited_source});
    }
  }

  void addTenants() {
    const Json::json_pointer pointer = Json::json_pointer() / kTenantsKey;
    values_.push_back({pointer.to_string(), effectiveService(service_).at(kTenantsKey).dump(), sourceName(pointer)});
  }

  const ParsedDocuments& documents_;
  const ServiceSettings& service_;
  std::vector<ValueSource> values_;
};

}  // namespace

leaf::result<std::vector<ValueSource>> explainSettings(const std::map<DocumentName, SettingsDocument>& documents,
                                                       const ServiceName& service) {
  BOOST_LEAF_AUTO(settings, resolveSettings(documents));
  const auto found = settings.services.find(service);
  if (found == settings.services.end()) {
    Findings findings;
    findings.add(serviceDocumentName(service).value, "does not exist.");
    return leaf::new_error(std::move(findings));
  }
  Findings findings;
  return ServiceExplainer(parseDocuments(documents, findings), found->second).run();
}

}  // namespace shedlever
