#include "source/core/settings/settings_reference.h"

#include "source/core/settings/settings_field.h"
#include "source/core/settings/settings_history.h"

namespace shedlever {

namespace {

constexpr const char* kIntroduction =
    R"(# Settings documents

Made by `shedlever config reference` from the tables that the program itself reads; don't edit it by hand.

The platform's store holds one document for the deployment and one for each service:

| document | object in the store (kind, name) | file for `config apply` |
|---|---|---|
| `deployment` | `shedlever-settings`, `deployment` | `deployment.json` |
| `services/NAME` | `shedlever-settings`, `services.NAME` | `services/NAME.json` |

Each is a JSON object. A value that a back end (`/backends/NAME`) does not give is taken from its service
(`/backend`), then from the deployment (`/service/backend`), then from the defaults below; a value that a
service does not give is taken from the deployment's `/service`. A list of tenants is given or inherited as
a whole. `shedlever config get NAME --effective` shows each value and where it comes from. All durations are
in milliseconds. An unknown key, a wrong type or a value out of range is a finding, and a document with
findings never comes into force.

`/change` is written by `config apply`: the change's id, its author, its time and the version that it
replaced. It is no setting; leave it in a file from `config get`, since it says from which version the file
was made.
)";

constexpr const char* kRules = R"(
## Checked together

- `default_deadline_ms` and `target_latency_ms` must not be longer than `longest_deadline_ms`.
- `once_only` excludes `repeatable`; `key_source` "header" needs `key_header`.
- Path prefixes of two services must not overlap.
- Tenants of a service have different names and credentials; one credential names the same tenant everywhere.
)";

std::string row(const std::string& key, const std::string& type, const std::string& standard,
                std::string_view description) {
  return "| `" + key + "` | " + type + " | " + standard + " | " + std::string(description) + " |\n";
}

template <class Owner>
std::string table(const std::string& title, const std::string& text, const std::string& place, FieldRows<Owner> rows) {
  std::string page = "\n## " + title + "\n\n" + text + "\n\n| place | type | default | meaning |\n|---|---|---|---|\n";
  const Owner defaults{};
  for (const FieldRow<Owner>& field : rows) {
    const auto describe = [&](auto member) { return describeType(field.limits, defaults.*member); };
    const std::string standard = writeField(field, defaults).dump();
    page += row(place + std::string(field.name), std::visit(describe, field.member),
                standard == "\"\"" ? "none" : "`" + standard + "`", field.description);
  }
  return page;
}

std::string historySection() {
  return "\n## History\n\nThe last " + std::to_string(kMaxHistoryVersions) +
         " versions of a document that were replaced are kept under the kind `shedlever-history`, outside of the\n"
         "settings that nodes read. `config apply` records a version there before it replaces it.\n"
         "`shedlever config history DOCUMENT` lists them, `config get DOCUMENT --at VERSION` prints one.\n";
}

}  // namespace

std::string settingsReference() {
  std::string page = kIntroduction;
  page +=
      table("Service", "In a service's own document; in the deployment document below `/service`, for all services.",
            "/", serviceFields());
  visitServiceGroups([&page](std::string_view name, auto, auto rows) {
    const bool backend = name == "backend";
    const std::string text = backend ? "Below `/backends/NAME` the same keys hold for the back end beside the node "
                                       "of that name."
                                     : "Belongs to a service, as above.";
    page += table("Service: " + std::string(name), text, "/" + std::string(name) + "/", rows);
  });
  page += table("Service: tenants", "A list; each tenant is an object.", "/tenants/N/", tenantFields());
  return page + kRules + historySection();
}

}  // namespace shedlever
