#include "source/core/settings/settings_documents.h"

#include "source/core/settings/name_suggestion.h"
#include "source/core/settings/settings_field.h"
#include "source/core/settings/settings_tree.h"

namespace shedlever {

namespace {

bool startsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

void parseService(const SettingsDocument& document, ParsedDocuments& parsed, Findings& findings) {
  const std::string service = document.name.value.substr(std::string_view(kServiceDocumentPrefix).size());
  if (!matchesRule(service, TextRule::Name)) {
    const std::string rule = describeType(FieldLimits{0, 0, TextRule::Name}, std::string());
    findings.add(document.name.value, "does not name a service: after \"services/\" there must be " + rule + ".");
  }
  std::optional<Json> json = parseDocument(document.name.value, document.text, findings);
  if (json) {
    parsed.services[ServiceName(service)] = {document.version, std::move(*json)};
  }
}

}  // namespace

DocumentName serviceDocumentName(const ServiceName& service) {
  return DocumentName(kServiceDocumentPrefix + service.value);
}

ParsedDocuments parseDocuments(const std::map<DocumentName, SettingsDocument>& documents, Findings& findings) {
  ParsedDocuments parsed;
  for (const auto& [name, document] : documents) {
    if (name.value == kDeploymentDocument) {
      parsed.deployment_version = document.version;
      parsed.deployment = parseDocument(name.value, document.text, findings).value_or(Json::object());
    } else if (startsWith(name.value, kServiceDocumentPrefix)) {
      parseService({name, document.version, document.text}, parsed, findings);
    } else {
      const std::string known = "is no settings document; there are \"deployment\" and \"services/NAME\".";
      findings.add(name.value, known + didYouMean(name.value, {kDeploymentDocument}));
    }
  }
  return parsed;
}

std::optional<DocumentLocation> sourceOf(const ParsedDocuments& documents, const ServiceName& service,
                                         const Json::json_pointer& pointer) {
  const auto service_document = documents.services.find(service);
  if (service_document != documents.services.end() && service_document->second.json.contains(pointer)) {
    return DocumentLocation(serviceDocumentName(service).value, pointer);
  }
  const Json::json_pointer inherited = Json::json_pointer(std::string("/") + kServiceDefaultsKey) / pointer;
  if (documents.deployment.contains(inherited)) {
    return DocumentLocation(kDeploymentDocument, inherited);
  }
  return std::nullopt;
}

DocumentLocation locationOf(const ParsedDocuments& documents, const ServiceName& service,
                            const Json::json_pointer& pointer) {
  return sourceOf(documents, service, pointer).value_or(DocumentLocation(serviceDocumentName(service).value, pointer));
}

}  // namespace shedlever
