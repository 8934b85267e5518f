#include "source/cli/config_commands.h"
#include "source/cli/settings_files.h"
#include "source/core/settings/settings_change.h"
#include "source/core/settings/settings_diff.h"
#include "source/core/settings/settings_reference.h"

namespace shedlever {

ExitCode runConfigCheck(CliContext& context) {
  Findings findings;
  const std::map<DocumentName, SettingsFile> files = readSettingsFiles(context.operands, findings);
  SettingsDocuments documents;
  if (context.options.platform) {
    std::optional<SettingsDocuments> stored = fetchDocuments(context.ports);
    if (!stored) {
      return failWith(context, "the store does not respond");
    }
    documents = std::move(*stored);
  }
  for (const auto& [name, file] : files) {
    documents[name] = file.document;
  }
  findings.append(validateDocuments(documents));
  if (!findings.empty()) {
    return failWith(context, findings);
  }
  context.out << documents.size() << " documents, no findings\n";
  return ExitCode::Done;
}

ExitCode runConfigDiff(CliContext& context) {
  Findings findings;
  const std::map<DocumentName, SettingsFile> files = readSettingsFiles(context.operands, findings);
  for (const auto& [name, file] : files) {
    if (contentOf(file.document.text).is_null()) {
      findings.append(validateDocuments({{name, file.document}}));
    }
  }
  if (!findings.empty()) {
    return failWith(context, findings);
  }
  const std::optional<SettingsDocuments> stored = fetchDocuments(context.ports);
  if (!stored) {
    return failWith(context, "the store does not respond");
  }
  TextTable table({"document", "place", "stored", "file"});
  for (const auto& [name, file] : files) {
    const auto found = stored->find(name);
    const Json before = found == stored->end() ? Json::object() : contentOf(found->second.text);
    for (const JsonDifference& difference : diffJson(before, contentOf(file.document.text))) {
      table.add({name.value, difference.pointer, difference.before ? difference.before->dump() : "-",
                 difference.after ? difference.after->dump() : "-"});
    }
  }
  if (table.empty() && !context.options.json) {
    context.out << "no differences\n";
    return ExitCode::Done;
  }
  print(context, table);
  return ExitCode::Done;
}

ExitCode runConfigReference(CliContext& context) {
  context.out << settingsReference();
  return ExitCode::Done;
}

}  // namespace shedlever
