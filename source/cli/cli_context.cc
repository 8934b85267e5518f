#include "source/cli/cli_context.h"

#include "source/core/settings/settings_tree.h"

namespace shedlever {

namespace {

constexpr int kIndent = 2;
constexpr int kListAttempts = 3;
constexpr Duration kListRetryDelay = std::chrono::milliseconds(200);

}  // namespace

ExitCode failWith(CliContext& context, const Findings& findings) {
  context.err << toString(findings);
  return ExitCode::Findings;
}

ExitCode failWith(CliContext& context, const std::string& message) {
  context.err << "shedlever: " << message << "\n";
  return ExitCode::Failed;
}

void print(CliContext& context, const TextTable& table) {
  if (context.options.json) {
    context.out << table.json().dump(kIndent) << "\n";
  } else {
    context.out << table.text();
  }
}

std::optional<SettingsDocuments> fetchDocuments(CliPorts& ports) {
  for (int attempt = 0; attempt < kListAttempts; ++attempt) {
    const auto result = awaitResult<ListResult>(ports, [&](auto done) { ports.store().list(kSettingsPrefix, done); });
    if (!result.available) {
      pause(ports, kListRetryDelay);
      continue;
    }
    SettingsDocuments documents;
    for (const StoredObject& object : result.objects) {
      const DocumentName name(object.name.substr(std::string_view(kSettingsPrefix).size()));
      documents[name] = {name, object.version, object.value};
    }
    return documents;
  }
  return std::nullopt;
}

Findings validateDocuments(const SettingsDocuments& documents) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Findings> {
        BOOST_LEAF_CHECK(resolveSettings(documents));
        return Findings{};
      },
      [](const Findings& findings) { return findings; },
      [] {
        return Findings{{{"settings", "could not be resolved."}}};
      });
}

}  // namespace shedlever
